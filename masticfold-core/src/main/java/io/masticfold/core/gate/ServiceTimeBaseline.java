package io.masticfold.core.gate;

/**
 * Moving average of the service time of a warm target, used to detect slow calls.
 *
 * <p>Not thread-safe.
 */
final class ServiceTimeBaseline {

    /** A call that takes longer than this multiple of the baseline is slow. */
    private static final double SLOW_FACTOR = 3;

    private static final double WEIGHT = 0.05;

    /**
     * Weight of a slow call. It raises the baseline by 2% per slow call, so that the baseline adapts to a permanent
     * slowdown: a target that has become ten times slower is treated as cold for about 60 calls instead of forever.
     */
    private static final double SLOW_WEIGHT = 0.01;

    private double meanNanos;
    private long samples;

    boolean isSlow(long serviceNanos) {
        return samples > 0 && serviceNanos > SLOW_FACTOR * meanNanos;
    }

    void update(long serviceNanos) {
        boolean slow = isSlow(serviceNanos);
        samples++;
        if (slow) {
            meanNanos += SLOW_WEIGHT * (SLOW_FACTOR - 1) * meanNanos;
        } else {
            meanNanos += Math.max(WEIGHT, 1.0 / samples) * (serviceNanos - meanNanos);
        }
    }

    long meanNanos() {
        return (long) meanNanos;
    }
}
