package io.masticfold.core.gate;

/**
 * Start and end of a call to the target.
 *
 * @param epoch value of {@link SlowStartLimit#epoch()} when the call started
 * @param startNanos start, in nanoseconds of the time source
 * @param endNanos end, in nanoseconds of the time source
 */
record CallTimes(long epoch, long startNanos, long endNanos) {

    private static final long NANOS_PER_MICRO = 1_000L;

    long elapsedNanos() {
        return endNanos - startNanos;
    }

    long elapsedMicros() {
        return elapsedNanos() / NANOS_PER_MICRO;
    }
}
