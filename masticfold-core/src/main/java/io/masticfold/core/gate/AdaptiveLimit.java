package io.masticfold.core.gate;

/**
 * Adapts a concurrency limit to the service time: it falls when calls take clearly longer than the long-term mean and
 * grows while they do not and the limit is in use.
 *
 * <p>Not safe for use by several threads; the gate calls it under its lock.
 */
final class AdaptiveLimit {

    /** Service times up to twice the long-term mean are taken for ordinary variation. */
    private static final double TOLERANCE = 2.0;

    private static final double LEAST_GRADIENT = 0.5;
    private static final double SMOOTHING = 0.2;
    private static final double TIMEOUT_FACTOR = 0.9;

    /** Weight of one call in the long-term mean once the mean has settled. */
    private static final double LONG_WEIGHT = 1.0 / 600;

    /** Factor that lets the long-term mean follow when calls have become much faster. */
    private static final double RECOVERY = 0.95;

    private double limit = Double.MAX_VALUE;
    private double longNanos;
    private long samples;

    int limit(GateBounds bounds) {
        return (int) clamp(limit, bounds);
    }

    /**
     * Takes the service time of a call that succeeded.
     *
     * @param nanos service time, in nanoseconds
     * @param inFlight calls that were in flight, this one included
     */
    void served(long nanos, int inFlight, GateBounds bounds) {
        double sample = Math.max(1, nanos);
        learn(sample);
        double current = clamp(limit, bounds);
        double gradient = Math.max(LEAST_GRADIENT, Math.min(1, TOLERANCE * longNanos / sample));
        double headroom = inFlight * 2 >= current ? Math.sqrt(current) : 0;
        double next = current * gradient + headroom;
        limit = clamp(current + SMOOTHING * (next - current), bounds);
    }

    /** Takes a call that timed out or that the target turned away. */
    void overloaded(GateBounds bounds) {
        limit = clamp(clamp(limit, bounds) * TIMEOUT_FACTOR, bounds);
    }

    private void learn(double sample) {
        samples++;
        double weight = Math.max(LONG_WEIGHT, 1.0 / samples);
        longNanos += weight * (sample - longNanos);
        if (longNanos > TOLERANCE * sample) {
            longNanos *= RECOVERY;
        }
    }

    private static double clamp(double value, GateBounds bounds) {
        return Math.max(bounds.cold(), Math.min(bounds.max(), value));
    }
}
