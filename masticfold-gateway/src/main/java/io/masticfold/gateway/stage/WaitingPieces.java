package io.masticfold.gateway.stage;

import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.StageServerSelection;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;

/** Holds the pieces that wait for the servers of a pool and groups them for the next calls. Not thread-safe. */
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

    /** Removes and returns the pieces whose deadline has passed. */
    List<QueuedPiece> takeExpired() {
        return takeMatching(piece -> piece.deadline().expired(time));
    }

    /** Removes and returns the pieces whose deadline passes before the given time from now is over. */
    List<QueuedPiece> takeDueWithin(Duration time) {
        return takeMatching(piece -> piece.deadline().remaining(this.time).compareTo(time) < 0);
    }

    List<QueuedPiece> takeAll() {
        return takeMatching(_piece -> true);
    }

    private List<QueuedPiece> takeMatching(Predicate<QueuedPiece> condition) {
        List<QueuedPiece> taken = pieces.stream().filter(condition).toList();
        pieces.removeAll(taken);
        return taken;
    }

    /** Removes pieces that were put into a call. */
    void removeAll(List<QueuedPiece> sent) {
        pieces.removeAll(sent);
    }

    /**
     * Returns the groups of pieces that should be processed together, in processing order.
     *
     * @param onTimeOnly whether to leave out pieces that can no longer meet the latency objective of their request
     */
    List<List<QueuedPiece>> groups(StagePoolSpec spec, boolean onTimeOnly) {
        long now = time.nanoTime();
        List<QueuedPiece> ordered = new ArrayList<>(pieces);
        if (onTimeOnly) {
            ordered.removeIf(piece -> piece.dueNanos() - now < 0);
        }
        ordered.sort(QueuedPiece.processingOrder(now));
        List<List<QueuedPiece>> groups = new ArrayList<>();
        for (QueuedPiece piece : ordered) {
            List<QueuedPiece> last = groups.isEmpty() ? List.of() : groups.get(groups.size() - 1);
            int maxSize = StageServerSelection.maxPiecesPerServer(spec, piece.bytes());
            if (last.isEmpty() || last.size() >= maxSize || !last.get(0).sameStage(piece)) {
                groups.add(new ArrayList<>());
            }
            groups.get(groups.size() - 1).add(piece);
        }
        return groups;
    }
}
