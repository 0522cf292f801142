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

/** Holds the queues of the stage servers that this gateway owns, with the pieces of all gateways. */
final class StageOwner {

    private final GatewayContext context;
    private final Map<String, StageServerQueue> queues = new HashMap<>();
    private final Map<PeerCaller, Remote> remotes = new HashMap<>();

    StageOwner(GatewayContext context) {
        this.context = context;
    }

    /** Adds a piece to the queue of a server; reports {@code NOT_SENT} if the server is unknown. */
    void add(String pool, String server, QueuedPiece piece) {
        Optional<StageServerQueue> queue = queue(pool, server);
        if (queue.isPresent()) {
            queue.get().add(piece);
        } else {
            // Asynchronous because the receiver may add pieces again.
            context.scheduler().schedule(Duration.ZERO, () -> piece.receiver()
                    .outcome(piece.order(), new PieceOutcome(PieceOutcome.Kind.NOT_SENT, "")));
        }
    }

    void cancel(String server, PieceReceiver receiver, long order) {
        StageServerQueue queue = queues.get(server);
        if (queue != null) {
            queue.cancel(receiver, order);
        }
    }

    void release(String pool, String server, List<String> handles, boolean needed) {
        queue(pool, server).ifPresent(queue -> queue.release(handles, needed));
    }

    Optional<StageServerQueue> known(String server) {
        return Optional.ofNullable(queues.get(server));
    }

    private Optional<StageServerQueue> queue(String pool, String server) {
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
        queues.entrySet().removeIf(entry -> gone(entry.getKey(), entry.getValue()));
        PeerStatus.Builder status = PeerStatus.newBuilder();
        queues.forEach((server, queue) -> status.addServers(ServerBacklog.newBuilder()
                .setServer(server)
                .setBacklogMillis((int) queue.backlogMillis())
                .setOnTimeBacklogMillis((int) queue.onTimeBacklogMillis())
                .setRoomBytes(Math.max(0, queue.roomBytes()))));
        return status;
    }

    private boolean gone(String server, StageServerQueue queue) {
        return queue.idle() && context.view().directory().find(server).isEmpty();
    }

    /** Queues the pieces of a peer. */
    void ordered(PeerCaller caller, PieceOrder order) {
        Remote remote = remotes.computeIfAbsent(caller, Remote::new);
        long now = context.scheduler().nanoTime();
        for (Piece piece : order.getPiecesList()) {
            add(
                    order.getPool(),
                    order.getServer(),
                    new QueuedPiece(
                            piece.getOrder(),
                            remote,
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
    void cancelled(PeerCaller caller, PieceCancel cancel) {
        Remote remote = remotes.get(caller);
        if (remote != null) {
            cancel.getOrdersList().forEach(order -> cancel(cancel.getServer(), remote, order));
        }
    }

    /** Releases results on behalf of a peer. */
    void released(ResultRelease release) {
        release(release.getPool(), release.getServer(), release.getHandlesList(), release.getNeeded());
    }

    /** Removes the queued pieces of a disconnected peer. */
    void callerGone(PeerCaller caller) {
        Remote remote = remotes.remove(caller);
        if (remote != null) {
            queues.values().forEach(queue -> queue.cancelAll(remote));
        }
    }

    /** Forwards progress and outcomes to the peer that ordered the pieces. */
    private record Remote(PeerCaller caller) implements PieceReceiver {

        @Override
        public void inputsRead(long order) {
            caller.send(PeerFrame.newBuilder()
                    .setInputsRead(InputsRead.newBuilder().setOrder(order))
                    .build());
        }

        @Override
        public void outcome(long order, PieceOutcome outcome) {
            caller.send(PeerFrame.newBuilder()
                    .setReply(PieceReply.newBuilder()
                            .setOrder(order)
                            .setOutcome(outcome.kind().ordinal())
                            .setHandle(outcome.handle()))
                    .build());
        }
    }
}
