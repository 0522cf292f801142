package io.masticfold.core.attempt;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Remembers, for each entry incarnation, the highest counter whose record was dropped. Attempts up to this mark that
 * are not on record may have run.
 *
 * <p>The table is bounded. When the mark of an incarnation is dropped, the floor rises to it, and every incarnation up
 * to the floor without a mark of its own counts as dropped. The floor keeps the statement "never seen" true whatever is
 * dropped.
 */
final class EntryMarks {

    /** Holds the marks in the order of the last recorded arrival, so that the least active entry is dropped first. */
    private final Map<Incarnation, Long> marks = new LinkedHashMap<>();

    private final int capacity;

    @Nullable
    private Incarnation floor;

    EntryMarks(int capacity) {
        this.capacity = capacity;
    }

    /** Returns whether the record of an attempt that is not in the table may have been dropped. */
    boolean covers(AttemptId attempt) {
        Long mark = marks.get(attempt.entry());
        return mark == null ? underFloor(attempt.entry()) : attempt.counter() <= mark;
    }

    /** Notes the arrival of an attempt when it is recorded, so that a later rise of the floor spares its entry. */
    void note(Incarnation entry) {
        Long mark = marks.remove(entry);
        if (mark != null || !underFloor(entry)) {
            put(entry, mark == null ? 0 : mark);
        }
    }

    /** Raises the mark when the record of an attempt is dropped. */
    void raise(AttemptId attempt) {
        Long mark = marks.get(attempt.entry());
        if (mark != null || !underFloor(attempt.entry())) {
            put(attempt.entry(), Math.max(mark == null ? 0 : mark, attempt.counter()));
        }
    }

    private boolean underFloor(Incarnation entry) {
        return floor != null && entry.compareTo(floor) <= 0;
    }

    private void put(Incarnation entry, long mark) {
        marks.put(entry, mark);
        if (marks.size() > capacity) {
            Incarnation dropped = marks.keySet().iterator().next();
            marks.remove(dropped);
            floor = floor == null || dropped.compareTo(floor) > 0 ? dropped : floor;
        }
    }
}
