package io.masticfold.gateway.stage;

import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.peer.proto.PoolCommitment;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Counts the pieces that started requests still have to submit. They are in no queue yet, but a request that starts now
 * will be processed after them. Every gateway reports its own count to its peers. The count of all gateways is not
 * estimated as the own count times the number of gateways: during a rolling restart one gateway may hold all requests,
 * and the estimate would then hold back requests for which the servers have capacity. Not thread-safe.
 */
final class StageCommitments {

    private final TimeSource time;
    private final Duration maxAge;
    private final Map<String, Integer> own = new HashMap<>();
    private final Map<String, PeerCounts> peers = new HashMap<>();

    /**
     * Creates the counts.
     *
     * @param maxAge age after which the count of a peer is ignored
     */
    StageCommitments(TimeSource time, Duration maxAge) {
        this.time = time;
        this.maxAge = maxAge;
    }

    /** Adds pieces of this gateway's requests; a negative number removes them. */
    void add(String pool, int pieces) {
        own.merge(pool, pieces, Integer::sum);
    }

    /** Replaces the counts of a peer by those of its status. */
    void update(String peer, PeerStatus status) {
        Map<String, Integer> pieces = new HashMap<>();
        for (PoolCommitment commitment : status.getCommitmentsList()) {
            pieces.put(commitment.getPool(), commitment.getPieces());
        }
        peers.put(peer, new PeerCounts(Map.copyOf(pieces), time.nanoTime()));
    }

    /** Removes the counts of a peer that has become unreachable. */
    void remove(String peer) {
        peers.remove(peer);
    }

    /** Adds the counts of this gateway to a status. */
    void addTo(PeerStatus.Builder status) {
        own.forEach((pool, pieces) -> {
            if (pieces > 0) {
                status.addCommitments(PoolCommitment.newBuilder().setPool(pool).setPieces(pieces));
            }
        });
    }

    /** Returns the number of pieces that all gateways still have to submit to a pool. */
    int pendingPieces(String pool) {
        int sum = own.getOrDefault(pool, 0);
        long oldest = time.nanoTime() - maxAge.toNanos();
        for (PeerCounts counts : peers.values()) {
            if (counts.receivedNanos() - oldest >= 0) {
                sum += counts.pieces().getOrDefault(pool, 0);
            }
        }
        return sum;
    }

    /** Holds the counts of a peer by pool, and the time of their arrival. */
    private record PeerCounts(Map<String, Integer> pieces, long receivedNanos) {}
}
