package io.masticfold.core.time;

import java.time.Instant;

/** Supplies the time. Production uses the system clocks; tests inject a clock they control. */
public interface TimeSource {

    /** Returns a monotonic time in nanoseconds with an arbitrary origin. */
    long nanoTime();

    /** Returns the wall-clock time; used only for ids, retention and display, never for deadlines. */
    Instant now();

    /** Returns the time source of the running machine. */
    static TimeSource system() {
        return SystemTimeSource.INSTANCE;
    }
}
