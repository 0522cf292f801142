package io.masticfold.core.placement;

import java.time.Duration;

/**
 * Ratio of two sums whose contributions lose half of their weight in each half-life. A prior keeps the ratio close to
 * the expected one until enough has been observed. Used by one thread.
 */
final class DecayingRatio {

    private final double halfLifeNanos;
    private final double priorNumerator;
    private final double priorDenominator;
    private double numerator;
    private double denominator;
    private long updatedNanos;

    /**
     * Creates a ratio without observations.
     *
     * @param halfLife time in which an observation loses half of its weight
     * @param prior expected ratio
     * @param priorWeight weight of the expected ratio, in units of the denominator
     */
    DecayingRatio(Duration halfLife, double prior, double priorWeight) {
        if (halfLife.isNegative() || halfLife.isZero()) {
            throw new IllegalArgumentException("halfLife must be positive: " + halfLife);
        }
        this.halfLifeNanos = halfLife.toNanos();
        this.priorNumerator = prior * priorWeight;
        this.priorDenominator = priorWeight;
    }

    void add(double numeratorPart, double denominatorPart, long nowNanos) {
        double remaining = remaining(nowNanos);
        numerator = numerator * remaining + numeratorPart;
        denominator = denominator * remaining + denominatorPart;
        updatedNanos = nowNanos;
    }

    double value(long nowNanos) {
        double remaining = remaining(nowNanos);
        return (priorNumerator + numerator * remaining) / (priorDenominator + denominator * remaining);
    }

    private double remaining(long nowNanos) {
        return Math.pow(2, -Math.max(0, nowNanos - updatedNanos) / halfLifeNanos);
    }
}
