package io.masticfold.core.attempt;

import java.util.LinkedHashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * High-water marks of evicted attempt records: for each entry incarnation, the highest counter whose record was
 * evicted. An attempt at or below the mark that has no record may have run.
 *
 * <p>The table is bounded. When the mark of an incarnation is evicted, the floor is raised to that incarnation. Every
 * incarnation at or below the floor that has no mark of its own is treated as evicted, so an attempt reported as new
 * has never been seen, whatever was evicted.
 */
final class EntryMarks {

    /** Marks by incarnation, least recently used first, so that the least active entry is evicted first. */
    private final Map<Incarnation, Long> marks = new LinkedHashMap<>();

    private final int capacity;

    @Nullable
    private Incarnation floor;

    EntryMarks(int capacity) {
        this.capacity = capacity;
    }

    /** Returns whether an attempt that has no record may have had one that was evicted. */
    boolean covers(AttemptId attempt) {
        Long mark = marks.get(attempt.entry());
        return mark == null ? underFloor(attempt.entry()) : attempt.counter() <= mark;
    }

    /** Marks an incarnation as recently used when one of its attempts is recorded, which protects it from eviction. */
    void note(Incarnation entry) {
        Long mark = marks.remove(entry);
        if (mark != null || !underFloor(entry)) {
            put(entry, mark == null ? 0 : mark);
        }
    }

    /** Raises the mark of an incarnation when the record of one of its attempts is evicted. */
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
