package io.masticfold.gateway.stage;

import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.BatchSupport;
import io.masticfold.core.time.TimeSource;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Holds the queued pieces of one stage server and selects those of the next call. Not thread-safe. */
final class WaitingPieces {

    private final TimeSource time;
    private final List<QueuedPiece> pieces = new ArrayList<>();

    WaitingPieces(TimeSource time) {
        this.time = time;
    }

    void add(List<QueuedPiece> more) {
        pieces.addAll(more);
    }

    /** Removes a piece; returns whether it was queued. */
    boolean remove(PieceReceiver receiver, long order) {
        return pieces.removeIf(piece -> piece.order() == order && piece.receiver() == receiver);
    }

    /** Removes the pieces of a receiver. */
    void removeAll(PieceReceiver receiver) {
        pieces.removeIf(piece -> piece.receiver() == receiver);
    }

    boolean isEmpty() {
        return pieces.isEmpty();
    }

    int size() {
        return pieces.size();
    }

    /** Returns the number of pieces that can still meet the latency target of their request. */
    int onTime() {
        long now = time.nanoTime();
        return (int)
                pieces.stream().filter(piece -> piece.dueNanos() - now >= 0).count();
    }

    /** Removes and returns the pieces whose deadline has passed. */
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
     * Removes and returns the pieces of the next call.
     *
     * @param roomBytes free result storage of the server, in bytes
     */
    List<QueuedPiece> take(StagePoolSpec spec, long roomBytes) {
        List<QueuedPiece> ordered = new ArrayList<>(pieces);
        ordered.sort(QueuedPiece.orderAt(time.nanoTime()));
        int size = BatchSupport.size(
                ordered.stream().map(QueuedPiece::attemptId).toList(),
                ordered.stream().map(QueuedPiece::bytes).toList(),
                spec.batch(),
                roomBytes,
                spec.roomBytes());
        List<QueuedPiece> batch = List.copyOf(ordered.subList(0, size));
        pieces.removeAll(batch);
        return batch;
    }
}
