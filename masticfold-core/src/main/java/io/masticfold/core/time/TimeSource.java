package io.masticfold.core.time;

import java.time.Instant;

/** Supplies the time: from the system clocks in production, from a controlled clock in tests. */
public interface TimeSource {

    /** Returns the monotonic time, in nanoseconds since an arbitrary origin. */
    long nanoTime();

    /** Returns the wall-clock time, which is used for ids, retention and display only, never for deadlines. */
    Instant now();

    /** Returns the time source that reads the system clocks. */
    static TimeSource system() {
        return SystemTimeSource.INSTANCE;
    }
}
