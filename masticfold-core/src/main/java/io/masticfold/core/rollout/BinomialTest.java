package io.masticfold.core.rollout;

/** One-sided exact binomial test. */
final class BinomialTest {

    private BinomialTest() {}

    /**
     * Returns the probability of at least a number of successes.
     *
     * @param successes observed successes
     * @param trials number of independent trials
     * @param probability probability of a success in each
     */
    static double upperTail(long successes, long trials, double probability) {
        if (successes <= 0) {
            return 1;
        }
        if (probability <= 0) {
            return 0;
        }
        if (probability >= 1) {
            return 1;
        }
        double logOdds = Math.log(probability) - Math.log1p(-probability);
        double logTerm = trials * Math.log1p(-probability);
        double below = 0;
        for (long k = 0; k < successes; k++) {
            below += Math.exp(logTerm);
            logTerm += Math.log((double) (trials - k) / (k + 1)) + logOdds;
        }
        return Math.max(0, 1 - below);
    }
}
