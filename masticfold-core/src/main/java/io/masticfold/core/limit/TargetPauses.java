package io.masticfold.core.limit;

import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Holds the pauses that targets have asked this process for, by incarnation. Not thread-safe. */
public final class TargetPauses {

    private final TimeSource time;
    private final Map<String, Deadline> ends = new HashMap<>();

    /** Creates an empty table. */
    public TargetPauses(TimeSource time) {
        this.time = time;
    }

    /**
     * Records that a target wants nothing from this process for some time. A shorter pause does not end a longer one.
     *
     * @param incarnation incarnation of the target
     * @return whether the target was not paused before
     */
    public boolean record(String incarnation, Duration length) {
        ends.values().removeIf(end -> end.expired(time));
        Deadline end = Deadline.after(time, length);
        Deadline before = ends.putIfAbsent(incarnation, end);
        if (before != null && before.earlier(end).equals(before)) {
            ends.put(incarnation, end);
        }
        return before == null;
    }

    /** Returns the time until the target may be sent a request; zero if it may be sent one now. */
    public Duration remaining(String incarnation) {
        Deadline end = ends.get(incarnation);
        return end == null ? Duration.ZERO : end.remaining(time);
    }
}
