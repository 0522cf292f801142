package io.masticfold.core.gate;

/**
 * Gradient-based concurrency limit. The limit shrinks when service times rise clearly above their long-term mean, and
 * grows while they do not and at least half of the limit is in use.
 *
 * <p>Not thread-safe; callers hold the lock of the gate.
 */
final class AdaptiveLimit {

    /** Service times of up to twice the long-term mean count as normal variation. */
    private static final double TOLERANCE = 2.0;

    private static final double MIN_GRADIENT = 0.5;
    private static final double SMOOTHING = 0.2;
    private static final double OVERLOAD_FACTOR = 0.9;

    /** Weight of one call in the long-term mean once 600 calls have been sampled. */
    private static final double LONG_TERM_WEIGHT = 1.0 / 600;

    /** Extra decay of the long-term mean, applied per call while calls are much faster than the mean. */
    private static final double RECOVERY_FACTOR = 0.95;

    private double limit = Double.MAX_VALUE;
    private double longTermMeanNanos;
    private long samples;

    int limit(TargetBounds bounds) {
        return (int) clamp(limit, bounds);
    }

    /**
     * Updates the limit after a successful call.
     *
     * @param serviceNanos service time, in nanoseconds
     * @param inFlight number of calls in flight, including this one
     */
    void onSuccess(long serviceNanos, int inFlight, TargetBounds bounds) {
        double sample = Math.max(1, serviceNanos);
        updateMean(sample);
        double current = clamp(limit, bounds);
        double gradient = Math.max(MIN_GRADIENT, Math.min(1, TOLERANCE * longTermMeanNanos / sample));
        double headroom = inFlight * 2 >= current ? Math.sqrt(current) : 0;
        double next = current * gradient + headroom;
        limit = clamp(current + SMOOTHING * (next - current), bounds);
    }

    /** Reduces the limit after a call that timed out or that the target rejected because of overload. */
    void onOverload(TargetBounds bounds) {
        limit = clamp(clamp(limit, bounds) * OVERLOAD_FACTOR, bounds);
    }

    private void updateMean(double sample) {
        samples++;
        double weight = Math.max(LONG_TERM_WEIGHT, 1.0 / samples);
        longTermMeanNanos += weight * (sample - longTermMeanNanos);
        if (longTermMeanNanos > TOLERANCE * sample) {
            longTermMeanNanos *= RECOVERY_FACTOR;
        }
    }

    private static double clamp(double value, TargetBounds bounds) {
        return Math.max(bounds.coldConcurrency(), Math.min(bounds.maxConcurrency(), value));
    }
}
