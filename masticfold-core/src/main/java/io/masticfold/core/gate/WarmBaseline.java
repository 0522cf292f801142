package io.masticfold.core.gate;

/**
 * Learns the usual service time of a target and tells slow calls from warm ones.
 *
 * <p>Not safe for use by several threads.
 */
final class WarmBaseline {

    /** Calls over this multiple of the baseline are slow. */
    private static final double SLOW_FACTOR = 3;

    private static final double WEIGHT = 0.05;

    /**
     * Weight of a slow call. It lets the baseline follow a lasting change of the work, by at most 2% a call, so a
     * target that has slowed tenfold stays cold for about 60 calls rather than for ever.
     */
    private static final double SLOW_WEIGHT = 0.01;

    private double meanNanos;
    private long samples;

    boolean slow(long nanos) {
        return samples > 0 && nanos > SLOW_FACTOR * meanNanos;
    }

    void learn(long nanos) {
        boolean slow = slow(nanos);
        samples++;
        if (slow) {
            meanNanos += SLOW_WEIGHT * (SLOW_FACTOR - 1) * meanNanos;
        } else {
            meanNanos += Math.max(WEIGHT, 1.0 / samples) * (nanos - meanNanos);
        }
    }

    long meanNanos() {
        return (long) meanNanos;
    }
}
