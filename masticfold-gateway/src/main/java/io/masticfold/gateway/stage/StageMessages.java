package io.masticfold.gateway.stage;

import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.Piece;
import io.masticfold.gateway.peer.proto.PieceCancel;
import io.masticfold.gateway.peer.proto.PieceOrder;
import io.masticfold.gateway.peer.proto.ResultRelease;
import java.util.List;

/** Encodes requests to the owner of a stage server. Times are sent as durations because clocks differ. */
final class StageMessages {

    private static final double NANOS_PER_MILLI = 1e6;

    private StageMessages() {}

    static PeerFrame order(TimeSource time, String pool, String server, List<StageOrder> orders) {
        PieceOrder.Builder frame = PieceOrder.newBuilder().setPool(pool).setServer(server);
        long now = time.nanoTime();
        for (StageOrder order : orders) {
            PendingPiece piece = order.piece;
            frame.addPieces(Piece.newBuilder()
                    .setOrder(order.number)
                    .setAttempt(piece.attemptId())
                    .setStage(piece.stage())
                    .setPiece(piece.piece())
                    .setLeftMillis((int) piece.deadline().remaining(time).toMillis())
                    .setBytes(piece.bytes())
                    .setRank(piece.rank())
                    .setAgeMillis((int) ((now - piece.startedNanos()) / NANOS_PER_MILLI))
                    .setDueMillis((int) ((piece.dueNanos() - now) / NANOS_PER_MILLI))
                    .setKey(piece.key())
                    .addAllInputs(piece.inputs()));
        }
        return PeerFrame.newBuilder().setOrder(frame).build();
    }

    static PeerFrame cancel(StageOrder order) {
        return PeerFrame.newBuilder()
                .setCancel(PieceCancel.newBuilder().setServer(order.server).addOrders(order.number))
                .build();
    }

    static PeerFrame release(String pool, String server, List<String> handles, boolean needed) {
        return PeerFrame.newBuilder()
                .setRelease(ResultRelease.newBuilder()
                        .setPool(pool)
                        .setServer(server)
                        .addAllHandles(handles)
                        .setNeeded(needed))
                .build();
    }
}
