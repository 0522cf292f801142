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
final class EvictionMarks {

    /** Marks by incarnation, least recently used first, so that the least active entry is evicted first. */
    private final Map<Incarnation, Long> marks = new LinkedHashMap<>();

    private final int capacity;

    @Nullable
    private Incarnation floor;

    EvictionMarks(int capacity) {
        this.capacity = capacity;
    }

    /** Returns whether an attempt that has no record may have had one that was evicted. */
    boolean covers(AttemptId attempt) {
        Long mark = marks.get(attempt.entry());
        return mark == null ? isAtOrBelowFloor(attempt.entry()) : attempt.counter() <= mark;
    }

    /**
     * Marks an incarnation as most recently used when one of its attempts is recorded. Having a mark of its own, the
     * incarnation is not affected when the floor is raised later.
     */
    void touch(Incarnation entry) {
        Long mark = marks.remove(entry);
        if (mark != null || !isAtOrBelowFloor(entry)) {
            put(entry, mark == null ? 0 : mark);
        }
    }

    /** Raises the mark of an incarnation when the record of one of its attempts is evicted. */
    void raise(AttemptId attempt) {
        Long mark = marks.get(attempt.entry());
        if (mark != null || !isAtOrBelowFloor(attempt.entry())) {
            put(attempt.entry(), Math.max(mark == null ? 0 : mark, attempt.counter()));
        }
    }

    private boolean isAtOrBelowFloor(Incarnation entry) {
        return floor != null && entry.compareTo(floor) <= 0;
    }

    private void put(Incarnation entry, long mark) {
        marks.put(entry, mark);
        if (marks.size() > capacity) {
            Incarnation evicted = marks.keySet().iterator().next();
            marks.remove(evicted);
            floor = floor == null || evicted.compareTo(floor) > 0 ? evicted : floor;
        }
    }
}
