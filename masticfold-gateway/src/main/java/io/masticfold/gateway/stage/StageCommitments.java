package io.masticfold.gateway.stage;

import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.peer.proto.PoolCommitment;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the pieces that begun requests will need: they are in no queue yet, but what begins now waits behind
 * them. Every gateway tells its own count. One gateway may have all the requests while the others stop, so multiplying
 * its own count by the number of gateways would hold back what the servers could do. Used by one thread.
 */
final class StageCommitments {

    private final TimeSource time;
    private final Duration maxAge;
    private final Map<String, Integer> own = new HashMap<>();
    private final Map<String, Told> peers = new HashMap<>();

    /**
     * Creates the counts.
     *
     * @param maxAge age after which what a peer told counts no more
     */
    StageCommitments(TimeSource time, Duration maxAge) {
        this.time = time;
        this.maxAge = maxAge;
    }

    /** Adds pieces of this gateway's requests; a negative number takes them back. */
    void add(String pool, int pieces) {
        own.merge(pool, pieces, Integer::sum);
    }

    /** Takes what a peer tells. */
    void told(String peer, PeerStatus status) {
        Map<String, Integer> pieces = new HashMap<>();
        for (PoolCommitment commitment : status.getCommitmentsList()) {
            pieces.put(commitment.getPool(), commitment.getPieces());
        }
        peers.put(peer, new Told(Map.copyOf(pieces), time.nanoTime()));
    }

    /** Forgets what a peer has told, since it cannot be reached. */
    void lost(String peer) {
        peers.remove(peer);
    }

    /** Adds the own counts to a status. */
    void tell(PeerStatus.Builder status) {
        own.forEach((pool, pieces) -> {
            if (pieces > 0) {
                status.addCommitments(PoolCommitment.newBuilder().setPool(pool).setPieces(pieces));
            }
        });
    }

    /** Returns the pieces of a pool that are still to come, of all gateways. */
    int pieces(String pool) {
        int sum = own.getOrDefault(pool, 0);
        long oldest = time.nanoTime() - maxAge.toNanos();
        for (Told told : peers.values()) {
            if (told.nanos() - oldest >= 0) {
                sum += told.pieces().getOrDefault(pool, 0);
            }
        }
        return sum;
    }

    /** Holds what a peer told, and when. */
    private record Told(Map<String, Integer> pieces, long nanos) {}
}
