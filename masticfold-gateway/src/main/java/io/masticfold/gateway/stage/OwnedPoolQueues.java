package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.stage.StagePartitions;
import io.masticfold.core.time.Deadline;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.peer.PeerCaller;
import io.masticfold.gateway.peer.proto.InputsRead;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.peer.proto.Piece;
import io.masticfold.gateway.peer.proto.PieceCancel;
import io.masticfold.gateway.peer.proto.PieceOrder;
import io.masticfold.gateway.peer.proto.PieceReply;
import io.masticfold.gateway.peer.proto.ResultRelease;
import io.masticfold.gateway.peer.proto.ServerBacklog;
import io.masticfold.gateway.peer.proto.ZoneBytes;
import io.masticfold.gateway.protocol.PieceOutcome;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** Holds the queues of the stage pools' partitions that this gateway owns; each holds pieces from all gateways. */
final class OwnedPoolQueues {

    private final GatewayContext context;
    private final Map<String, StagePoolQueue> queues = new HashMap<>();
    private final ServerPauses pauses = new ServerPauses();
    private final Map<PeerCaller, PeerDispatchListener> peerListeners = new HashMap<>();
    private boolean piecesQueued;

    OwnedPoolQueues(GatewayContext context) {
        this.context = context;
    }

    /** Adds a piece to the queue of a partition of a pool. */
    void add(String pool, int partition, QueuedPiece piece) {
        piecesQueued = true;
        queues.computeIfAbsent(
                        StagePartitions.key(pool, partition),
                        _key -> new StagePoolQueue(context, pool, partition, pauses))
                .add(piece);
    }

    /** Returns whether pieces were queued since the last call: their senders wait for a status that counts them. */
    boolean takePiecesQueued() {
        boolean queued = piecesQueued;
        piecesQueued = false;
        return queued;
    }

    void cancel(DispatchListener listener, long dispatchId) {
        for (StagePoolQueue queue : queues.values()) {
            if (queue.cancel(listener, dispatchId)) {
                return;
            }
        }
    }

    void release(String pool, String server, List<String> handles, boolean mayBeNeeded) {
        find(pool, server).ifPresent(queue -> queue.release(server, handles, mayBeNeeded));
    }

    /** Returns the queue of the partition to which a server belongs. */
    Optional<StagePoolQueue> find(String pool, String server) {
        return Optional.ofNullable(queues.get(StagePartitions.key(pool, partitionOf(pool, server))));
    }

    /** Returns the time until a server takes calls of this gateway, as far as it is known; zero if it does now. */
    Duration pause(TargetRecord server) {
        return pauses.remaining(server, context.scheduler().nanoTime());
    }

    /** Returns the partition to which a server of a pool belongs at present. */
    int partitionOf(String pool, String server) {
        int servers = context.view().directory().usable(pool).size();
        return StagePartitions.partitionOf(server, StagePartitions.count(servers));
    }

    /** Returns the status of the queues for the peers. */
    PeerStatus.Builder status() {
        queues.values().removeIf(StagePoolQueue::obsolete);
        pauses.retain(server -> context.view().directory().find(server.id()).isPresent());
        PeerStatus.Builder status = PeerStatus.newBuilder();
        for (StagePoolQueue queue : queues.values()) {
            Map<String, Double> onTime = queue.backlogMillis(true);
            queue.backlogMillis(false)
                    .forEach((server, millis) -> status.addServers(ServerBacklog.newBuilder()
                            .setServer(server)
                            .setBacklogMillis(millis.intValue())
                            .setOnTimeBacklogMillis(
                                    onTime.getOrDefault(server, millis).intValue())
                            .setRoomBytes(Math.max(0, queue.freeBytes(server).orElse(0L)))));
        }
        return status;
    }

    /** Queues the pieces of a peer. */
    void queuePieces(PeerCaller caller, PieceOrder order) {
        PeerDispatchListener listener = peerListeners.computeIfAbsent(caller, PeerDispatchListener::new);
        long now = context.scheduler().nanoTime();
        int partition = order.getAnyServer() ? order.getPartition() : partitionOf(order.getPool(), order.getServer());
        Map<String, Long> inputBytes = order.getInputBytesList().stream()
                .collect(Collectors.toMap(ZoneBytes::getZone, ZoneBytes::getBytes, Long::sum));
        for (Piece piece : order.getPiecesList()) {
            add(
                    order.getPool(),
                    partition,
                    new QueuedPiece(
                            piece.getOrder(),
                            listener,
                            piece.getAttempt(),
                            piece.getStage(),
                            piece.getPiece(),
                            piece.getKey(),
                            piece.getInputsList(),
                            piece.getBytes(),
                            piece.getRank(),
                            now - Duration.ofMillis(piece.getAgeMillis()).toNanos(),
                            now + Duration.ofMillis(piece.getDueMillis()).toNanos(),
                            Deadline.after(context.scheduler(), Duration.ofMillis(piece.getLeftMillis())),
                            PieceDispatch.zoneBytes(inputBytes, order.getReaderZone(), piece.getBytes()),
                            order.getAnyServer() ? null : order.getServer()));
        }
    }

    /** Cancels pieces of a peer. */
    void cancelPieces(PeerCaller caller, PieceCancel cancel) {
        PeerDispatchListener listener = peerListeners.get(caller);
        if (listener != null) {
            cancel.getOrdersList().forEach(order -> cancel(listener, order));
        }
    }

    /** Releases results on behalf of a peer. */
    void releaseResults(ResultRelease release) {
        release(release.getPool(), release.getServer(), release.getHandlesList(), release.getNeeded());
    }

    /** Removes the queued pieces of a disconnected peer. */
    void callerDisconnected(PeerCaller caller) {
        PeerDispatchListener listener = peerListeners.remove(caller);
        if (listener != null) {
            queues.values().forEach(queue -> queue.cancelAll(listener));
        }
    }

    /** Forwards progress and outcomes to the peer that ordered the pieces. */
    private record PeerDispatchListener(PeerCaller caller) implements DispatchListener {

        @Override
        public void inputsRead(long dispatchId) {
            caller.send(PeerFrame.newBuilder()
                    .setInputsRead(InputsRead.newBuilder().setOrder(dispatchId))
                    .build());
        }

        @Override
        public void completed(long dispatchId, PieceOutcome outcome, PieceLocation location) {
            caller.send(PeerFrame.newBuilder()
                    .setReply(PieceReply.newBuilder()
                            .setOrder(dispatchId)
                            .setOutcome(outcome.kind().ordinal())
                            .setHandle(outcome.handle())
                            .setServer(location.server())
                            .setZone(location.zone()))
                    .build());
        }
    }
}
