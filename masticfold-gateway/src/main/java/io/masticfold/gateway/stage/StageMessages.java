package io.masticfold.gateway.stage;

import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.Piece;
import io.masticfold.gateway.peer.proto.PieceCancel;
import io.masticfold.gateway.peer.proto.PieceOrder;
import io.masticfold.gateway.peer.proto.ResultRelease;
import io.masticfold.gateway.peer.proto.ZoneBytes;
import java.util.List;

/** Encodes requests to the owner of a partition of a stage pool. Times are sent as durations because clocks differ. */
final class StageMessages {

    private static final double NANOS_PER_MILLI = 1e6;

    private StageMessages() {}

    static PeerFrame pieceOrder(
            TimeSource time, String pool, int partition, String server, List<PieceDispatch> dispatches) {
        PieceDispatch any = dispatches.get(0);
        PieceOrder.Builder frame = PieceOrder.newBuilder()
                .setPool(pool)
                .setPartition(partition)
                .setServer(server)
                .setAnyServer(true)
                .setReaderZone(any.readerZone == null ? "" : any.readerZone);
        any.inputBytes.forEach((zone, bytes) ->
                frame.addInputBytes(ZoneBytes.newBuilder().setZone(zone).setBytes(bytes)));
        long now = time.nanoTime();
        for (PieceDispatch dispatch : dispatches) {
            PendingPiece piece = dispatch.piece;
            frame.addPieces(Piece.newBuilder()
                    .setOrder(dispatch.id)
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

    static PeerFrame pieceCancel(PieceDispatch dispatch) {
        return PeerFrame.newBuilder()
                .setCancel(PieceCancel.newBuilder().setServer(dispatch.server).addOrders(dispatch.id))
                .build();
    }

    static PeerFrame resultRelease(String pool, String server, List<String> handles, boolean mayBeNeeded) {
        return PeerFrame.newBuilder()
                .setRelease(ResultRelease.newBuilder()
                        .setPool(pool)
                        .setServer(server)
                        .addAllHandles(handles)
                        .setNeeded(mayBeNeeded))
                .build();
    }
}
