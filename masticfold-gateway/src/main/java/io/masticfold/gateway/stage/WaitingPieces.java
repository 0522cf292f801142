package io.masticfold.gateway.stage;

import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.StageBatching;
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
    boolean remove(DispatchListener listener, long dispatchId) {
        return pieces.removeIf(piece -> piece.dispatchId() == dispatchId && piece.listener() == listener);
    }

    /** Removes the pieces of a listener. */
    void removeAll(DispatchListener listener) {
        pieces.removeIf(piece -> piece.listener() == listener);
    }

    boolean isEmpty() {
        return pieces.isEmpty();
    }

    int size() {
        return pieces.size();
    }

    /** Returns the number of pieces that can still meet the latency target of their request. */
    int onTimeCount() {
        long now = time.nanoTime();
        return (int)
                pieces.stream().filter(piece -> piece.dueNanos() - now >= 0).count();
    }

    /** Removes and returns the pieces whose deadline has passed. */
    List<QueuedPiece> takeExpired() {
        return takeMatching(piece -> piece.deadline().expired(time));
    }

    List<QueuedPiece> takeAll() {
        return takeMatching(_piece -> true);
    }

    private List<QueuedPiece> takeMatching(Predicate<QueuedPiece> condition) {
        List<QueuedPiece> taken = pieces.stream().filter(condition).toList();
        pieces.removeAll(taken);
        return taken;
    }

    /**
     * Removes and returns the pieces of the next call.
     *
     * @param freeBytes free result storage of the server, in bytes
     */
    List<QueuedPiece> takeBatch(StagePoolSpec spec, long freeBytes) {
        List<QueuedPiece> ordered = new ArrayList<>(pieces);
        ordered.sort(QueuedPiece.processingOrder(time.nanoTime()));
        int size = StageBatching.batchSize(
                ordered.stream().map(QueuedPiece::attemptId).toList(),
                ordered.stream().map(QueuedPiece::bytes).toList(),
                spec.maxPiecesPerCall(),
                freeBytes,
                spec.storageBytes());
        List<QueuedPiece> batch = List.copyOf(ordered.subList(0, size));
        pieces.removeAll(batch);
        return batch;
    }
}
