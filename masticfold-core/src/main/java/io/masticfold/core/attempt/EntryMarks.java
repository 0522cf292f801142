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

    private static final float LOAD_FACTOR = 0.75f;
    private static final int INITIAL_SIZE = 16;

    private final Map<Incarnation, Long> marks = new LinkedHashMap<>(INITIAL_SIZE, LOAD_FACTOR, true);
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

    /** Notes an incarnation when its first attempt is recorded, so that a later rise of the floor leaves it alone. */
    void note(Incarnation entry) {
        if (!underFloor(entry)) {
            put(entry, marks.getOrDefault(entry, 0L));
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
