package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.ServerOwnership;
import io.masticfold.core.stage.StagePartitions;
import io.masticfold.core.stage.StageServerView;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.peer.proto.ServerBacklog;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Provides the owner, backlog and free storage of each stage server, and the usual piece times. Not thread-safe. */
final class StageServerRegistry {

    /** Time for which a server that did not process a piece is avoided. */
    static final Duration FAILING_TIME = Duration.ofMillis(700);

    /** Age after which the status of a peer is ignored. */
    private static final Duration MAX_STATUS_AGE = Duration.ofMillis(1000);

    private final GatewayContext context;
    private final OwnedPoolQueues ownedQueues;
    private final Map<String, StageServerEstimate> estimates = new HashMap<>();
    private final Map<String, PieceLatency> latencies = new HashMap<>();
    private final StageCommitments commitments;
    private @Nullable PeerLinks peers;
    private boolean draining;

    /**
     * Creates a registry.
     *
     * @param ownedQueues queues of the servers that this gateway owns
     */
    StageServerRegistry(GatewayContext context, OwnedPoolQueues ownedQueues) {
        this.context = context;
        this.ownedQueues = ownedQueues;
        this.commitments = new StageCommitments(context.scheduler(), MAX_STATUS_AGE);
    }

    void start(PeerLinks links) {
        peers = links;
    }

    /** Hands the servers over to the peers. */
    void drain() {
        draining = true;
    }

    /** Updates the servers that a peer owns from its status. */
    void updateFromStatus(String peer, PeerStatus status) {
        commitments.update(peer, status);
        long now = context.scheduler().nanoTime();
        for (ServerBacklog server : status.getServersList()) {
            estimate(server.getServer())
                    .recordStatus(
                            server.getBacklogMillis(), server.getOnTimeBacklogMillis(), server.getRoomBytes(), now);
        }
        estimates
                .keySet()
                .removeIf(server -> context.view().directory().find(server).isEmpty());
    }

    /** Removes the commitments of a peer that has become unreachable. */
    void peerDisconnected(String peer) {
        commitments.remove(peer);
    }

    /** Marks a server as failing for {@link #FAILING_TIME}. */
    void markFailing(String server) {
        estimate(server).markFailing(context.scheduler().nanoTime() + FAILING_TIME.toNanos());
    }

    /** Returns the specification of a stage pool. */
    Optional<StagePoolSpec> spec(String pool) {
        return Optional.ofNullable(context.view().config())
                .flatMap(config -> config.pool(pool))
                .map(found -> found.stage());
    }

    /** Returns the expected duration of a call with a number of pieces, capped at a full batch. */
    Duration callTime(String pool, int pieces) {
        return spec(pool)
                .map(spec ->
                        Duration.ofMillis((long) spec.expectedCallMillis(Math.min(spec.maxPiecesPerCall(), pieces))))
                .orElse(Duration.ZERO);
    }

    /** Returns the time for which the servers of a pool store results. */
    Duration resultLifetime(String pool) {
        return spec(pool)
                .map(spec -> Duration.ofMillis(spec.resultLifetimeMillis()))
                .orElse(Duration.ZERO);
    }

    /** Returns the pieces that started requests of all gateways still have to submit. */
    StageCommitments commitments() {
        return commitments;
    }

    /**
     * Returns the shortest time until a new piece would start in a pool, behind the queued and the committed pieces.
     *
     * @param onTime whether to count only queued pieces of requests that are on time
     */
    Duration backlog(String pool, boolean onTime) {
        Optional<StagePoolSpec> spec = spec(pool);
        List<TargetRecord> servers = context.view().directory().usable(pool);
        if (spec.isEmpty() || servers.isEmpty()) {
            return FAILING_TIME;
        }
        double shortest = servers.stream()
                .map(target -> view(target, spec.get(), onTime))
                .mapToDouble(server -> server.backlogMillis() + (server.recentlyFailed() ? FAILING_TIME.toMillis() : 0))
                .min()
                .orElseThrow();
        double pieceMillis = spec.get().expectedCallMillis(spec.get().maxPiecesPerCall())
                / spec.get().maxPiecesPerCall();
        double coming = commitments.pendingPieces(pool) * pieceMillis / servers.size();
        return Duration.ofMillis((long) (shortest + coming));
    }

    /** Returns the time until a server of a pool takes calls, as far as this gateway has been told to pause. */
    Duration pause(String pool) {
        @Nullable Duration shortest = null;
        for (TargetRecord server : context.view().directory().usable(pool)) {
            Duration pause = ownedQueues.pause(server);
            if (pause.isZero()) {
                return pause;
            }
            shortest = shortest == null || pause.compareTo(shortest) < 0 ? pause : shortest;
        }
        return shortest == null ? Duration.ZERO : shortest;
    }

    /** Returns the partition of a pool to which a server belongs. */
    int partitionOf(String pool, String server) {
        return ownedQueues.partitionOf(pool, server);
    }

    /** Returns the gateway that owns a partition of a pool. */
    String ownerOf(String pool, int partition) {
        String key = StagePartitions.key(pool, partition);
        PeerLinks links = peers;
        List<String> reachable = links == null ? List.of() : links.reachable();
        return draining && !reachable.isEmpty()
                ? ServerOwnership.ownerOf(key, reachable.get(0), reachable)
                : ServerOwnership.ownerOf(key, context.settings().node(), reachable);
    }

    /**
     * Returns the present state of a server.
     *
     * @param onTime whether its backlog includes only requests that are on time
     */
    StageServerView view(TargetRecord target, StagePoolSpec spec, boolean onTime) {
        long now = context.scheduler().nanoTime();
        StageServerEstimate estimate = estimate(target.id());
        boolean failing = estimate.failing(now);
        String ownerName = ownerOf(target.pool(), partitionOf(target.pool(), target.id()));
        if (ownerName.equals(context.settings().node())) {
            Optional<StagePoolQueue> queue = ownedQueues.find(target.pool(), target.id());
            return new StageServerView(
                    target.id(),
                    target.zone(),
                    queue.map(found -> found.backlogMillis(onTime).getOrDefault(target.id(), 0.0))
                            .orElse(0.0),
                    queue.flatMap(found -> found.freeBytes(target.id())).orElseGet(spec::storageBytes),
                    failing);
        }
        return new StageServerView(
                target.id(),
                target.zone(),
                estimate.backlogMillis(onTime, now, MAX_STATUS_AGE),
                estimate.freeBytes(now, MAX_STATUS_AGE, spec.storageBytes()),
                failing);
    }

    /** Returns the recent average time of a piece of a pool, from its dispatch to its result. */
    Duration averageLatency(String pool) {
        return latency(pool).average();
    }

    PieceLatency latency(String pool) {
        return latencies.computeIfAbsent(pool, _pool -> new PieceLatency());
    }

    StageServerEstimate estimate(String server) {
        return estimates.computeIfAbsent(server, _server -> new StageServerEstimate());
    }
}
