package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.stage.StageServerSelection;
import io.masticfold.core.stage.StageServerView;
import io.masticfold.core.time.TimerGrid;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.PeerLinks;
import io.masticfold.gateway.peer.StatusSchedule;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.peer.proto.PieceReply;
import io.masticfold.gateway.protocol.PieceOutcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/** Sends the pieces of this gateway's requests to the owners of the stage pools. Not thread-safe. */
public final class StageDispatcher implements DispatchListener {

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayContext context;
    private final PieceRetryPolicy retryPolicy;
    private final OwnedPoolQueues ownedQueues;
    private final StageServerRegistry servers;
    private final StatusSchedule statusSchedule;
    private final Map<Long, PieceDispatch> dispatches = new HashMap<>();
    private @Nullable PeerLinks peers;
    private Consumer<PeerStatus.Builder> statusExtension = _status -> {};
    private long lastDispatchId;
    private boolean draining;

    /**
     * Creates a dispatcher.
     *
     * @param newBudget creates the retry budget of a pool
     */
    public StageDispatcher(GatewayContext context, Function<String, RetryBudget> newBudget) {
        this.context = context;
        this.retryPolicy = new PieceRetryPolicy(context, newBudget);
        this.ownedQueues = new OwnedPoolQueues(context);
        this.servers = new StageServerRegistry(context, ownedQueues);
        this.statusSchedule = new StatusSchedule(context.scheduler());
    }

    /**
     * Sets the connections to the peers and starts the periodic broadcast of this gateway's status.
     *
     * @param extension adds to the status what other parts of the gateway tell the peers
     */
    public void start(PeerLinks links, Consumer<PeerStatus.Builder> extension) {
        peers = links;
        statusExtension = extension;
        servers.start(links);
        broadcastStatus();
    }

    private void broadcastStatus() {
        PeerLinks links = peers;
        if (links != null) {
            boolean peerConnected = links.takePeerConnected();
            boolean piecesQueued = ownedQueues.takePiecesQueued();
            PeerFrame frame = status();
            if (statusSchedule.send(frame.getStatus(), peerConnected || piecesQueued)) {
                links.broadcast(frame);
            }
        }
        context.scheduler()
                .schedule(TimerGrid.delay(context.scheduler(), PeerLinks.STATUS_INTERVAL), this::broadcastStatus);
    }

    private PeerFrame status() {
        PeerStatus.Builder status = ownedQueues.status().setDraining(draining);
        statusExtension.accept(status);
        servers.commitments().addTo(status);
        return PeerFrame.newBuilder().setStatus(status).build();
    }

    /** Hands the stage servers over to the peers because this gateway is stopping. */
    public void drain() {
        draining = true;
        servers.drain();
        PeerLinks links = peers;
        if (links != null) {
            links.broadcast(status());
        }
    }

    /**
     * Submits the pieces of one stage of a request.
     *
     * @param inputBytes size of the inputs of each piece, in bytes, by availability zone
     * @param readerZone availability zone in which the results are expected to be read; null if unknown
     */
    void submit(String pool, List<PendingPiece> pieces, Map<String, Long> inputBytes, @Nullable String readerZone) {
        retryPolicy.recordSubmission(pool, pieces.size());
        dispatch(
                pool,
                pieces.stream()
                        .map(piece -> new PieceDispatch(pool, piece, inputBytes, readerZone))
                        .toList());
    }

    private void dispatch(String pool, List<PieceDispatch> group) {
        Optional<StagePoolSpec> spec = servers.spec(pool);
        if (spec.isEmpty()) {
            failAsync(group);
            return;
        }
        PieceDispatch first = group.get(0);
        int together = Math.min(group.size(), StageServerSelection.maxPiecesPerServer(spec.get(), first.piece.bytes()));
        List<StageServerView> views = context.view().directory().usable(pool).stream()
                .map(target -> servers.view(target, spec.get(), isOnTime(first)))
                .toList();
        Optional<StageServerView> expected = StageServerSelection.choose(
                views, together * first.piece.bytes(), groupZoneBytes(group), slackMillis(first));
        if (expected.isEmpty()) {
            failAsync(group);
            return;
        }
        String server = expected.get().id();
        servers.estimate(server)
                .recordSent(
                        group.size() * spec.get().pieceMillis(),
                        group.size() * first.piece.bytes(),
                        context.scheduler().nanoTime());
        send(pool, servers.partitionOf(pool, server), server, group);
    }

    private void send(String pool, int partition, String server, List<PieceDispatch> group) {
        String ownerName = servers.ownerOf(pool, partition);
        boolean local = ownerName.equals(context.settings().node());
        for (PieceDispatch dispatch : group) {
            dispatch.id = ++lastDispatchId;
            dispatch.server = server;
            dispatch.owner = local ? "" : ownerName;
            dispatch.sends++;
            dispatch.dispatchedNanos = context.scheduler().nanoTime();
            dispatches.put(dispatch.id, dispatch);
        }
        if (local) {
            group.forEach(dispatch ->
                    ownedQueues.add(pool, partition, dispatch.piece.toQueued(dispatch.id, this, dispatch.zoneBytes())));
        } else {
            sendToPeer(ownerName, StageMessages.pieceOrder(context.scheduler(), pool, partition, server, group));
        }
    }

    private static Map<String, Long> groupZoneBytes(List<PieceDispatch> group) {
        Map<String, Long> bytes = new HashMap<>();
        group.forEach(dispatch -> dispatch.zoneBytes().forEach((zone, size) -> bytes.merge(zone, size, Long::sum)));
        return bytes;
    }

    private boolean isOnTime(PieceDispatch dispatch) {
        return dispatch.piece.dueNanos() - context.scheduler().nanoTime() >= 0;
    }

    private double slackMillis(PieceDispatch dispatch) {
        long left = dispatch.piece.dueNanos() - context.scheduler().nanoTime();
        return (left - servers.averageLatency(dispatch.pool).toNanos()) / NANOS_PER_MILLI;
    }

    private void sendToPeer(String peer, PeerFrame frame) {
        PeerLinks links = peers;
        if (links != null) {
            links.send(peer, frame);
        }
    }

    long nanoTime() {
        return context.scheduler().nanoTime();
    }

    /** Returns the stage servers. */
    StageServerRegistry servers() {
        return servers;
    }

    /** Cancels pieces that are no longer needed. */
    void cancel(List<PendingPiece> pieces) {
        List<PieceDispatch> cancelled = dispatches.values().stream()
                .filter(dispatch -> pieces.contains(dispatch.piece))
                .toList();
        for (PieceDispatch dispatch : cancelled) {
            // A piece that is already in a call still completes; its result is released then.
            dispatch.cancelled = true;
            if (dispatch.owner.isEmpty()) {
                ownedQueues.cancel(this, dispatch.id);
            } else {
                sendToPeer(dispatch.owner, StageMessages.pieceCancel(dispatch));
            }
        }
    }

    /** Releases results that are no longer needed. */
    void release(List<StageResult> results) {
        release(results, false);
    }

    /** Marks results that have been read and are needed again only if a reader fails. */
    void markEvictable(List<StageResult> results) {
        release(results, true);
    }

    private void release(List<StageResult> results, boolean mayBeNeeded) {
        Map<String, List<StageResult>> byServer = results.stream().collect(Collectors.groupingBy(StageResult::server));
        byServer.forEach((server, group) -> {
            List<String> handles = group.stream().map(StageResult::handle).toList();
            String pool = group.get(0).pool();
            String ownerName = servers.ownerOf(pool, servers.partitionOf(pool, server));
            if (ownerName.equals(context.settings().node())) {
                ownedQueues.release(pool, server, handles, mayBeNeeded);
            } else {
                sendToPeer(ownerName, StageMessages.resultRelease(pool, server, handles, mayBeNeeded));
            }
        });
    }

    @Override
    public void inputsRead(long dispatchId) {
        PieceDispatch dispatch = dispatches.get(dispatchId);
        if (dispatch != null && !dispatch.cancelled) {
            dispatch.piece.listener().inputsRead();
        }
    }

    @Override
    public void completed(long dispatchId, PieceOutcome outcome, PieceLocation location) {
        PieceDispatch dispatch = dispatches.remove(dispatchId);
        if (dispatch == null) {
            return;
        }
        if (!location.server().isEmpty()) {
            dispatch.server = location.server();
        }
        if (outcome.kind() == PieceOutcome.Kind.MADE) {
            StageResult result =
                    new StageResult(outcome.handle(), dispatch.pool, dispatch.server, zone(dispatch.server, location));
            if (dispatch.cancelled) {
                release(List.of(result));
            } else {
                servers.latency(dispatch.pool).record(context.scheduler().nanoTime() - dispatch.dispatchedNanos);
                dispatch.piece.listener().completed(result);
            }
            return;
        }
        if (dispatch.cancelled) {
            return;
        }
        retryPolicy.logFailure(dispatch, outcome.kind());
        switch (outcome.kind()) {
            case FAILED -> retryOrFail(dispatch, retryPolicy.allowRetry(dispatch));
            case GIVEN_BACK -> {
                servers.markFailing(dispatch.server);
                retryOrFail(dispatch, retryPolicy.allowRetry(dispatch));
            }
            case NOT_SENT -> {
                servers.markFailing(dispatch.server);
                retryOrFail(dispatch, retryPolicy.allowMove(dispatch));
            }
            default -> dispatch.piece.listener().failed(outcome.kind());
        }
    }

    /** Returns the zone of a server; a peer without partitions does not tell it. */
    private String zone(String server, PieceLocation location) {
        return location.zone().isEmpty()
                ? context.view()
                        .directory()
                        .find(server)
                        .map(TargetRecord::zone)
                        .orElse("")
                : location.zone();
    }

    private void retryOrFail(PieceDispatch dispatch, boolean allowed) {
        if (allowed) {
            dispatch(dispatch.pool, List.of(dispatch));
        } else {
            dispatch.piece.listener().failed(PieceOutcome.Kind.FAILED);
        }
    }

    private void failAsync(List<PieceDispatch> group) {
        context.scheduler()
                .schedule(
                        Duration.ZERO,
                        () -> group.forEach(
                                dispatch -> dispatch.piece.listener().failed(PieceOutcome.Kind.FAILED)));
    }

    /** Handles a frame received on a connection that this gateway opened. */
    public void handleResponse(String peer, PeerFrame frame) {
        if (frame.hasReply()) {
            PieceReply reply = frame.getReply();
            PieceOutcome.Kind[] kinds = PieceOutcome.Kind.values();
            PieceOutcome.Kind kind =
                    reply.getOutcome() < kinds.length ? kinds[reply.getOutcome()] : PieceOutcome.Kind.FAILED;
            completed(
                    reply.getOrder(),
                    new PieceOutcome(kind, reply.getHandle()),
                    new PieceLocation(reply.getServer(), reply.getZone()));
        } else if (frame.hasInputsRead()) {
            inputsRead(frame.getInputsRead().getOrder());
        } else if (frame.hasStatus()) {
            servers.updateFromStatus(peer, frame.getStatus());
        }
    }

    /** Retries the pieces that were sent to a peer whose connection was lost. */
    public void peerDisconnected(String peer) {
        servers.peerDisconnected(peer);
        List<PieceDispatch> open = dispatches.values().stream()
                .filter(dispatch -> dispatch.owner.equals(peer))
                .toList();
        for (PieceDispatch dispatch : new ArrayList<>(open)) {
            dispatches.remove(dispatch.id);
            if (!dispatch.cancelled) {
                retryOrFail(dispatch, retryPolicy.allowRetry(dispatch));
            }
        }
    }

    /** Handles a request from a peer. */
    public void handleRequest(PeerCaller caller, PeerFrame frame) {
        if (frame.hasOrder()) {
            ownedQueues.queuePieces(caller, frame.getOrder());
        } else if (frame.hasCancel()) {
            ownedQueues.cancelPieces(caller, frame.getCancel());
        } else if (frame.hasRelease()) {
            ownedQueues.releaseResults(frame.getRelease());
        }
    }

    /** Removes the queued pieces of a disconnected peer. */
    public void callerDisconnected(PeerCaller caller) {
        ownedQueues.callerDisconnected(caller);
    }
}
