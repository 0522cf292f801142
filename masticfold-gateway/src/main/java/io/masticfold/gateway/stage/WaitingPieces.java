package io.masticfold.gateway.stage;

import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.StageBatching;
import io.masticfold.core.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Holds the pieces that wait for the calls of one stage server. Used by one thread. */
final class WaitingPieces {

    private final TimeSource time;
    private final List<QueuedPiece> pieces = new ArrayList<>();

    WaitingPieces(TimeSource time) {
        this.time = time;
    }

    void add(List<QueuedPiece> more) {
        pieces.addAll(more);
    }

    /** Removes a piece; returns whether it was there. */
    boolean remove(PieceReceiver receiver, long order) {
        return pieces.removeIf(piece -> piece.order() == order && piece.receiver() == receiver);
    }

    /** Removes what a receiver has ordered. */
    void removeAll(PieceReceiver receiver) {
        pieces.removeIf(piece -> piece.receiver() == receiver);
    }

    boolean isEmpty() {
        return pieces.isEmpty();
    }

    int size() {
        return pieces.size();
    }

    /** Returns the number of pieces whose requests can still be on time. */
    int onTime() {
        long now = time.nanoTime();
        return (int)
                pieces.stream().filter(piece -> piece.dueNanos() - now >= 0).count();
    }

    /** Takes the pieces whose results would be of no use. */
    List<QueuedPiece> takeExpired() {
        return take(piece -> piece.deadline().expired(time));
    }

    List<QueuedPiece> takeAll() {
        return take(_piece -> true);
    }

    private List<QueuedPiece> take(Predicate<QueuedPiece> condition) {
        List<QueuedPiece> taken = pieces.stream().filter(condition).toList();
        pieces.removeAll(taken);
        return taken;
    }

    /**
     * Takes the pieces of the next call.
     *
     * @param roomBytes room that is free at the server, in bytes
     */
    List<QueuedPiece> take(StagePoolSpec spec, long roomBytes) {
        List<QueuedPiece> ordered = new ArrayList<>(pieces);
        ordered.sort(QueuedPiece.orderAt(time.nanoTime()));
        int size = StageBatching.batchSize(
                ordered.stream().map(QueuedPiece::attemptId).toList(),
                ordered.stream().map(QueuedPiece::bytes).toList(),
                spec.maxPiecesPerCall(),
                roomBytes,
                spec.storageBytes());
        List<QueuedPiece> batch = List.copyOf(ordered.subList(0, size));
        pieces.removeAll(batch);
        return batch;
    }
}
