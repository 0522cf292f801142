package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.PieceGroup;
import io.masticfold.core.stage.StageBatching;
import io.masticfold.core.stage.StageCallPlan;
import io.masticfold.core.stage.StagePartitions;
import io.masticfold.core.stage.StageServerLoad;
import io.masticfold.core.time.EarliestTimer;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.protocol.PieceOutcome;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Queues the pieces of all gateways for one partition of a stage pool and distributes them to its servers as these
 * become free. Not thread-safe.
 */
final class StagePoolQueue implements StageServerListener {

    /** Interval of plans while a server is free but all pieces wait for another one or for storage. */
    private static final Duration REPLAN_INTERVAL = Duration.ofMillis(50);

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayContext context;
    private final String pool;
    private final int partition;
    private final WaitingPieces waiting;
    private final Map<String, StageServer> servers = new HashMap<>();
    private final StageBacklogs backlogs;
    private final ServerPauses pauses;
    private final EarliestTimer sendTimer;
    private boolean sendHeld;

    /**
     * Creates an empty queue.
     *
     * @param pauses pauses of all servers that this gateway calls
     */
    StagePoolQueue(GatewayContext context, String pool, int partition, ServerPauses pauses) {
        this.pauses = pauses;
        this.sendTimer = new EarliestTimer(context.scheduler(), this::sendUnlessPaused);
        this.context = context;
        this.pool = pool;
        this.partition = partition;
        this.waiting = new WaitingPieces(context.scheduler());
        this.backlogs = new StageBacklogs(context.scheduler());
    }

    void add(QueuedPiece piece) {
        requeue(List.of(piece));
    }

    @Override
    public void requeue(List<QueuedPiece> pieces) {
        waiting.add(pieces);
        serverChanged();
    }

    @Override
    public void serverChanged() {
        backlogs.invalidate();
        sendTimer.arm(Duration.ZERO);
    }

    @Override
    public int waitingPieces() {
        return waiting.size();
    }

    /** Cancels a piece that is still queued, and returns whether it was; a piece in a call ends with the call. */
    boolean cancel(DispatchListener listener, long dispatchId) {
        boolean queued = waiting.remove(listener, dispatchId);
        if (queued) {
            backlogs.invalidate();
            listener.completed(dispatchId, new PieceOutcome(PieceOutcome.Kind.LATE, ""), PieceLocation.NONE);
        }
        return queued;
    }

    void cancelAll(DispatchListener listener) {
        waiting.removeAll(listener);
        backlogs.invalidate();
    }

    /** Returns whether no piece is queued and no call is in progress. */
    boolean idle() {
        return waiting.isEmpty() && servers.values().stream().allMatch(StageServer::idle);
    }

    /** Returns whether the queue is idle and none of its servers is known any more. */
    boolean obsolete() {
        return idle()
                && servers.keySet().stream()
                        .allMatch(id -> context.view().directory().find(id).isEmpty());
    }

    /**
     * Releases results.
     *
     * @param mayBeNeeded whether the results may be needed again after a failure; if so, they are kept until the server
     *     runs short of storage
     */
    void release(String server, List<String> handles, boolean mayBeNeeded) {
        StageServer known = servers.get(server);
        if (known != null) {
            known.release(handles, mayBeNeeded);
        }
    }

    /** Returns the free storage of a server; empty if this queue has not used the server yet. */
    Optional<Long> freeBytes(String server) {
        return Optional.ofNullable(servers.get(server)).map(StageServer::freeBytes);
    }

    /**
     * Returns the time until each usable server would start a piece that arrives now, in milliseconds.
     *
     * @param onTime whether to count only pieces of requests that are on time
     */
    Map<String, Double> backlogMillis(boolean onTime) {
        return backlogs.get(onTime, () -> planBacklogs(onTime));
    }

    private Map<String, Double> planBacklogs(boolean onTime) {
        List<StageServer> usable = usableServers();
        Map<String, Double> millis = new HashMap<>();
        spec().ifPresent(spec -> {
            StageCallPlan plan = plan(spec, waiting.groups(spec, onTime), usable);
            for (int i = 0; i < usable.size(); i++) {
                millis.put(usable.get(i).server().id(), plan.startMillis(i));
            }
        });
        return Map.copyOf(millis);
    }

    private Optional<StagePoolSpec> spec() {
        return Optional.ofNullable(context.view().config())
                .flatMap(config -> config.pool(pool))
                .map(found -> found.stage());
    }

    /** Sends what can be sent, once decisions may be made after a pause of this process. */
    private void sendUnlessPaused() {
        if (!sendHeld) {
            sendHeld = true;
            context.pauseGuard().run(() -> {
                sendHeld = false;
                sendNext();
            });
        }
    }

    private void sendNext() {
        Optional<StagePoolSpec> spec = spec();
        waiting.takeExpired().forEach(piece -> complete(piece, PieceOutcome.Kind.LATE));
        List<StageServer> usable = usableServers();
        if (usable.isEmpty()) {
            waiting.takeAll().forEach(piece -> complete(piece, PieceOutcome.Kind.NOT_SENT));
        }
        usable.stream().mapToDouble(StageServer::pauseMillis).min().ifPresent(soonest -> waiting.takeDueWithin(
                        Duration.ofMillis((long) soonest))
                .forEach(piece -> complete(piece, PieceOutcome.Kind.LATE)));
        if (spec.isEmpty() || waiting.isEmpty()) {
            return;
        }
        if (usable.stream().anyMatch(StageServer::ready)) {
            sendCalls(spec.get(), usable);
        }
        if (waiting.isEmpty()) {
            return;
        }
        double pauseMillis = usable.stream()
                .mapToDouble(StageServer::pauseMillis)
                .filter(millis -> millis > 0)
                .min()
                .orElse(Double.MAX_VALUE);
        boolean held = usable.stream().anyMatch(StageServer::ready);
        double delayMillis = held ? Math.min(pauseMillis, REPLAN_INTERVAL.toMillis()) : pauseMillis;
        if (delayMillis < Double.MAX_VALUE) {
            sendTimer.arm(Duration.ofMillis((long) Math.ceil(delayMillis)));
        }
    }

    private void sendCalls(StagePoolSpec spec, List<StageServer> usable) {
        List<List<QueuedPiece>> groups = waiting.groups(spec, false);
        StageCallPlan plan = plan(spec, groups, usable);
        for (int i = 0; i < usable.size(); i++) {
            StageServer server = usable.get(i);
            if (server.ready()) {
                List<QueuedPiece> assigned = plan.groups(i).stream()
                        .flatMap(group -> groups.get(group).stream())
                        .toList();
                List<QueuedPiece> batch = assigned.subList(0, batchSize(spec, assigned, server.freeBytes()));
                if (!batch.isEmpty()) {
                    waiting.removeAll(batch);
                    server.call(spec, batch);
                }
            }
        }
        backlogs.invalidate();
    }

    private static int batchSize(StagePoolSpec spec, List<QueuedPiece> pieces, long freeBytes) {
        return StageBatching.batchSize(
                pieces.stream().map(QueuedPiece::attemptId).toList(),
                pieces.stream().map(QueuedPiece::bytes).toList(),
                spec.maxPiecesPerCall(),
                freeBytes,
                spec.storageBytes());
    }

    private StageCallPlan plan(StagePoolSpec spec, List<List<QueuedPiece>> groups, List<StageServer> usable) {
        List<StageServerLoad> loads = usable.stream().map(StageServer::load).toList();
        return StageCallPlan.of(
                groups.stream().map(group -> describe(spec, group)).toList(), loads, spec);
    }

    private PieceGroup describe(StagePoolSpec spec, List<QueuedPiece> group) {
        QueuedPiece first = group.get(0);
        Map<String, Long> zoneBytes = new HashMap<>();
        group.forEach(piece -> piece.zoneBytes().forEach((zone, bytes) -> zoneBytes.merge(zone, bytes, Long::sum)));
        double untilDueMillis = (first.dueNanos() - context.scheduler().nanoTime()) / NANOS_PER_MILLI;
        return new PieceGroup(
                group.size(),
                group.stream().mapToLong(QueuedPiece::bytes).sum(),
                zoneBytes,
                untilDueMillis - spec.expectedCallMillis(group.size()),
                first.server());
    }

    private List<StageServer> usableServers() {
        Collection<TargetRecord> targets = context.view().directory().usable(pool);
        int count = StagePartitions.count(targets.size());
        servers.values()
                .removeIf(server -> server.idle()
                        && context.view().directory().find(server.server().id()).isEmpty());
        return targets.stream()
                .filter(target -> StagePartitions.partitionOf(target.id(), count) == partition % count)
                .map(this::server)
                .toList();
    }

    private StageServer server(TargetRecord target) {
        StageServer known = servers.get(target.id());
        if (known != null && known.server().sameIncarnation(target)) {
            return known;
        }
        StageServer fresh = new StageServer(context, pool, target, pauses.of(target), this);
        servers.put(target.id(), fresh);
        return fresh;
    }

    private static void complete(QueuedPiece piece, PieceOutcome.Kind kind) {
        piece.listener().completed(piece.dispatchId(), new PieceOutcome(kind, ""), PieceLocation.NONE);
    }
}
