package io.masticfold.gateway.store;

import io.masticfold.gateway.peer.proto.KindRead;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.protocol.StoreObject;
import java.time.Duration;
import java.util.List;

/** Decides when and how a gateway reads one kind of object, given what its peers have read. Not thread-safe. */
interface ReadPlan {

    /** Replaces the known objects by a complete list. */
    void replaceAll(List<StoreObject> objects);

    /** Records a changed or deleted object. */
    void put(StoreObject object);

    /** Records that the store has answered a read of this gateway. */
    void recordOwnRead();

    /** Returns the time until the next call, zero if it should be made now. */
    Duration delay(long era);

    /** Returns whether so many changes may have been made since the last own read that a list is shorter. */
    boolean listInsteadOfWatch();

    /** Returns the time for which the store may hold the next watch open. */
    Duration watchWait();

    /**
     * Returns whether to read at once because of what the peers have read, or have not read.
     *
     * @param watching whether a watch is open; it would be abandoned
     */
    boolean readNow(long era, boolean watching);

    /** Returns the time since the latest read by any gateway that found what this one knows; zero before one did. */
    Duration sinceConfirmed(long era);

    /** Returns the time since the store answered a read of any gateway, whatever it found. */
    Duration latestReadAge();

    /** Adds the latest own read to the status for the peers. */
    void addTo(PeerStatus.Builder status, long era);

    /** Records the latest read of a peer; ignores reads of other kinds. */
    void recordPeerRead(String peer, KindRead read);

    /** Records that a peer is no longer reachable. */
    void removePeer(String peer);
}
