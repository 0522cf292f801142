package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
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
import io.masticfold.gateway.protocol.PieceOutcome;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds the queues of the stage servers that this gateway owns; each queue holds pieces from all gateways. */
final class OwnedServerQueues {

    private final GatewayContext context;
    private final Map<String, StageServerQueue> queues = new HashMap<>();
    private final Map<PeerCaller, PeerDispatchListener> peerListeners = new HashMap<>();

    OwnedServerQueues(GatewayContext context) {
        this.context = context;
    }

    /** Adds a piece to the queue of a server; reports {@code NOT_SENT} if the server is unknown. */
    void add(String pool, String server, QueuedPiece piece) {
        Optional<StageServerQueue> queue = queueFor(pool, server);
        if (queue.isPresent()) {
            queue.get().add(piece);
        } else {
            // Asynchronous because the listener may add pieces again.
            context.scheduler().schedule(Duration.ZERO, () -> piece.listener()
                    .completed(piece.dispatchId(), new PieceOutcome(PieceOutcome.Kind.NOT_SENT, "")));
        }
    }

    void cancel(String server, DispatchListener listener, long dispatchId) {
        StageServerQueue queue = queues.get(server);
        if (queue != null) {
            queue.cancel(listener, dispatchId);
        }
    }

    void release(String pool, String server, List<String> handles, boolean mayBeNeeded) {
        queueFor(pool, server).ifPresent(queue -> queue.release(handles, mayBeNeeded));
    }

    Optional<StageServerQueue> find(String server) {
        return Optional.ofNullable(queues.get(server));
    }

    private Optional<StageServerQueue> queueFor(String pool, String server) {
        Optional<TargetRecord> target = context.view().directory().find(server).filter(found -> found.pool()
                .equals(pool));
        if (target.isEmpty()) {
            return Optional.ofNullable(queues.get(server));
        }
        StageServerQueue known = queues.get(server);
        if (known != null && known.server().sameIncarnation(target.get())) {
            return Optional.of(known);
        }
        StageServerQueue fresh = new StageServerQueue(context, pool, target.get());
        queues.put(server, fresh);
        return Optional.of(fresh);
    }

    /** Returns the status of the queues for the peers. */
    PeerStatus.Builder status() {
        queues.entrySet().removeIf(entry -> isObsolete(entry.getKey(), entry.getValue()));
        PeerStatus.Builder status = PeerStatus.newBuilder();
        queues.forEach((server, queue) -> status.addServers(ServerBacklog.newBuilder()
                .setServer(server)
                .setBacklogMillis((int) queue.backlogMillis())
                .setOnTimeBacklogMillis((int) queue.onTimeBacklogMillis())
                .setRoomBytes(Math.max(0, queue.freeBytes()))));
        return status;
    }

    private boolean isObsolete(String server, StageServerQueue queue) {
        return queue.idle() && context.view().directory().find(server).isEmpty();
    }

    /** Queues the pieces of a peer. */
    void queuePieces(PeerCaller caller, PieceOrder order) {
        PeerDispatchListener listener = peerListeners.computeIfAbsent(caller, PeerDispatchListener::new);
        long now = context.scheduler().nanoTime();
        for (Piece piece : order.getPiecesList()) {
            add(
                    order.getPool(),
                    order.getServer(),
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
                            Deadline.after(context.scheduler(), Duration.ofMillis(piece.getLeftMillis()))));
        }
    }

    /** Cancels pieces of a peer. */
    void cancelPieces(PeerCaller caller, PieceCancel cancel) {
        PeerDispatchListener listener = peerListeners.get(caller);
        if (listener != null) {
            cancel.getOrdersList().forEach(order -> cancel(cancel.getServer(), listener, order));
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
        public void completed(long dispatchId, PieceOutcome outcome) {
            caller.send(PeerFrame.newBuilder()
                    .setReply(PieceReply.newBuilder()
                            .setOrder(dispatchId)
                            .setOutcome(outcome.kind().ordinal())
                            .setHandle(outcome.handle()))
                    .build());
        }
    }
}
