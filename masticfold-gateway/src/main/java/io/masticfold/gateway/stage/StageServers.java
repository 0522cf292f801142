package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.ServerOwnership;
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

/** Knows the stage servers: their owners, backlogs and room, and how long pieces take. Used by one thread. */
final class StageServers {

    /** Time for which a server that gave a piece back is chosen last. */
    static final Duration FAILING_TIME = Duration.ofMillis(700);

    /** Age after which a peer's status says nothing any more. */
    private static final Duration STATUS_AGE = Duration.ofMillis(1000);

    private final GatewayContext context;
    private final StageOwner owner;
    private final Map<String, StageServerNotes> notes = new HashMap<>();
    private final Map<String, StageTimes> times = new HashMap<>();
    private final StageCommitments commitments;
    private @Nullable PeerLinks peers;
    private boolean draining;

    /**
     * Creates the knowledge.
     *
     * @param owner queues that this gateway keeps
     */
    StageServers(GatewayContext context, StageOwner owner) {
        this.context = context;
        this.owner = owner;
        this.commitments = new StageCommitments(context.scheduler(), STATUS_AGE);
    }

    void start(PeerLinks links) {
        peers = links;
    }

    /** Gives the servers to the other gateways. */
    void drain() {
        draining = true;
    }

    /** Takes what a peer tells of the servers that it owns. */
    void told(String peer, PeerStatus status) {
        commitments.told(peer, status);
        long now = context.scheduler().nanoTime();
        for (ServerBacklog server : status.getServersList()) {
            notes(server.getServer())
                    .told(server.getBacklogMillis(), server.getOnTimeBacklogMillis(), server.getRoomBytes(), now);
        }
        notes.keySet()
                .removeIf(server -> context.view().directory().find(server).isEmpty());
    }

    /** Forgets what a peer has told, since it cannot be reached. */
    void lost(String peer) {
        commitments.lost(peer);
    }

    /** Chooses a server last for a while, since it gave a piece back. */
    void avoid(String server) {
        notes(server).failed(context.scheduler().nanoTime() + FAILING_TIME.toNanos());
    }

    /** Finds the description of a stage pool. */
    Optional<StagePoolSpec> spec(String pool) {
        return Optional.ofNullable(context.view().config())
                .flatMap(config -> config.pool(pool))
                .map(found -> found.stage());
    }

    /** Returns the time of a call with a number of pieces, or of several calls if one does not hold them. */
    Duration callTime(String pool, int pieces) {
        return spec(pool)
                .map(spec ->
                        Duration.ofMillis((long) spec.expectedCallMillis(Math.min(spec.maxPiecesPerCall(), pieces))))
                .orElse(Duration.ZERO);
    }

    /** Returns the pieces that begun requests still need, of all gateways. */
    StageCommitments commitments() {
        return commitments;
    }

    /**
     * Returns the shortest time until a new piece of a pool would start behind what waits there and what is on its way
     * there.
     *
     * @param onTime whether only requests that are on time count
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
        double coming = commitments.pieces(pool) * pieceMillis / servers.size();
        return Duration.ofMillis((long) (shortest + coming));
    }

    /** Returns the gateway that owns a server. */
    String owner(String server) {
        PeerLinks links = peers;
        List<String> reachable = links == null ? List.of() : links.reachable();
        return draining && !reachable.isEmpty()
                ? ServerOwnership.ownerOf(server, reachable.get(0), reachable)
                : ServerOwnership.ownerOf(server, context.settings().node(), reachable);
    }

    /**
     * Returns what is known of a server.
     *
     * @param onTime whether only requests that are on time count in its backlog
     */
    StageServerView view(TargetRecord target, StagePoolSpec spec, boolean onTime) {
        long now = context.scheduler().nanoTime();
        StageServerNotes known = notes(target.id());
        boolean failing = known.failing(now);
        String ownerName = owner(target.id());
        if (ownerName.equals(context.settings().node())) {
            Optional<StageServerQueue> queue = owner.known(target.id());
            return new StageServerView(
                    target.id(),
                    target.zone(),
                    queue.map(found -> onTime ? found.onTimeBacklogMillis() : found.backlogMillis())
                            .orElse(0.0),
                    queue.map(StageServerQueue::roomBytes).orElseGet(spec::storageBytes),
                    failing);
        }
        return new StageServerView(
                target.id(),
                target.zone(),
                known.backlogMillis(onTime, now, STATUS_AGE),
                known.roomBytes(now, STATUS_AGE, spec.storageBytes()),
                failing);
    }

    /** Returns the time that a piece of a pool took of late, from its request to its result. */
    Duration usualTime(String pool) {
        return times(pool).usual();
    }

    StageTimes times(String pool) {
        return times.computeIfAbsent(pool, _pool -> new StageTimes());
    }

    StageServerNotes notes(String server) {
        return notes.computeIfAbsent(server, _server -> new StageServerNotes());
    }
}
