package io.masticfold.core.stage;

/**
 * Estimates by which factor the calls of a stage server take longer than expected. Not thread-safe.
 *
 * <p>Only calls renew the estimate, and a server that is believed to be slow gets no calls while others are free.
 * Therefore a slowdown is forgotten with the time without a call. The longer the last call took, the longer it is
 * remembered: a server that is still slow gets a small share of the calls, whatever its slowdown.
 */
public final class SlowdownEstimate {

    /** Time in which half of a slowdown is forgotten, as a multiple of the duration of the last call. */
    static final double HALF_LIFE_CALLS = 4;

    static final double MIN = 0.7;
    static final double MAX = 20;

    /** Weight of the latest call in the moving average. */
    private static final double LATEST_WEIGHT = 0.3;

    private static final double NANOS_PER_MILLI = 1e6;

    private double measured = 1;
    private double lastCallMillis;
    private long measuredNanos;

    /**
     * Returns the ratio of actual to expected duration.
     *
     * @param nanos time for which the ratio is estimated: now, or the start of a call that is in progress
     */
    public double value(long nanos) {
        double ageMillis = Math.max(0, nanos - measuredNanos) / NANOS_PER_MILLI;
        if (measured <= 1 || ageMillis == 0) {
            return measured;
        }
        return 1 + (measured - 1) * Math.pow(0.5, ageMillis / (HALF_LIFE_CALLS * lastCallMillis));
    }

    /** Records a call that ended now; durations in milliseconds, greater than zero. */
    public void record(double callMillis, double expectedMillis, long nowNanos) {
        double before = value(nowNanos - (long) (callMillis * NANOS_PER_MILLI));
        update((1 - LATEST_WEIGHT) * before + LATEST_WEIGHT * callMillis / expectedMillis, callMillis, nowNanos);
    }

    /**
     * Records a call that has taken at least a time, in milliseconds, and is late. It is not averaged: one late call
     * shows that the server is slow.
     */
    public void recordLate(double callMillis, double expectedMillis, long nowNanos) {
        double before = value(nowNanos - (long) (callMillis * NANOS_PER_MILLI));
        update(Math.max(before, callMillis / expectedMillis), callMillis, nowNanos);
    }

    private void update(double ratio, double callMillis, long nowNanos) {
        measured = Math.max(MIN, Math.min(MAX, ratio));
        lastCallMillis = callMillis;
        measuredNanos = nowNanos;
    }
}
