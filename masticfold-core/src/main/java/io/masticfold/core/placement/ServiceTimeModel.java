package io.masticfold.core.placement;

import java.time.Duration;

/**
 * Time that an average target of a pool needs for a request: a constant plus a time for each prompt token that it
 * reads first, fitted to recent answers by least squares with exponential decay. Used by one thread.
 */
public final class ServiceTimeModel {

    /** Answers after which an older one has lost most of its weight; enough to follow a change within a minute. */
    private static final double MEMORY_ANSWERS = 200;

    /** Answers before which the model makes no prediction. */
    private static final int MIN_ANSWERS = 5;

    private static final double KEPT = 1 - 1 / MEMORY_ANSWERS;
    private static final double NANOS_PER_MILLI = 1e6;

    private double weight;
    private double sumTokens;
    private double sumMillis;
    private double sumTokensSquared;
    private double sumTokensMillis;
    private int answers;

    /**
     * Adds an answer.
     *
     * @param tokens prompt tokens that the target had to read before it answered; 0 for plain services
     * @param millis time until the answer, or until the first event of a stream, in milliseconds
     */
    public void record(double tokens, double millis) {
        weight = weight * KEPT + 1;
        sumTokens = sumTokens * KEPT + tokens;
        sumMillis = sumMillis * KEPT + millis;
        sumTokensSquared = sumTokensSquared * KEPT + tokens * tokens;
        sumTokensMillis = sumTokensMillis * KEPT + tokens * millis;
        answers = Math.min(MIN_ANSWERS, answers + 1);
    }

    /** Returns whether there have been enough answers for a prediction. */
    public boolean known() {
        return answers >= MIN_ANSWERS;
    }

    /** Returns the expected time for a number of tokens, in milliseconds; 0 until {@link #known}. */
    public double millis(double tokens) {
        if (!known()) {
            return 0;
        }
        double slope = millisPerToken();
        double constant = Math.max(0, (sumMillis - slope * sumTokens) / weight);
        return constant + slope * tokens;
    }

    /** Returns the expected time for a number of tokens; zero until {@link #known}. */
    public Duration duration(double tokens) {
        return Duration.ofNanos((long) (millis(tokens) * NANOS_PER_MILLI));
    }

    /** Returns the time that each further token takes, in milliseconds; 0 if it cannot be told from the answers. */
    public double millisPerToken() {
        double spread = weight * sumTokensSquared - sumTokens * sumTokens;
        if (!known() || spread <= 1e-9 * weight * sumTokensSquared) {
            return 0;
        }
        return Math.max(0, (weight * sumTokensMillis - sumTokens * sumMillis) / spread);
    }
}
