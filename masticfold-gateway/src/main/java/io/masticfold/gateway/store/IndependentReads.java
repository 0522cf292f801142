package io.masticfold.gateway.store;

import io.masticfold.gateway.peer.proto.KindRead;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.protocol.StoreObject;
import java.time.Duration;
import java.util.List;

/** Reads a kind without regard to the peers, for changes that must be known sooner than peers can tell. */
enum IndependentReads implements ReadPlan {
    INSTANCE;

    @Override
    public void replaceAll(List<StoreObject> _objects) {}

    @Override
    public void put(StoreObject _object) {}

    @Override
    public void recordOwnRead() {}

    @Override
    public Duration delay(long _era) {
        return Duration.ZERO;
    }

    @Override
    public boolean listInsteadOfWatch() {
        return false;
    }

    @Override
    public Duration watchWait() {
        return KindWatcher.WATCH_WAIT;
    }

    @Override
    public boolean readNow(long _era, boolean _watching) {
        return false;
    }

    @Override
    public void addTo(PeerStatus.Builder _status, long _era) {}

    @Override
    public void recordPeerRead(String _peer, KindRead _read) {}

    @Override
    public void removePeer(String _peer) {}
}
