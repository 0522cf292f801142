package io.masticfold.core.gate;

/**
 * Holds when a call to the target ran.
 *
 * @param epoch number of turns to cold before the call started
 * @param startNanos start, in nanoseconds on the axis of the time source
 * @param endNanos end, in nanoseconds on the axis of the time source
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
