package io.masticfold.core.rollout;

/** One-sided exact test of Fisher for two samples, by the hypergeometric distribution. */
final class FisherTest {

    private FisherTest() {}

    /**
     * Returns the probability that the first sample has at least its number of bad elements, if the bad elements of
     * both are spread over the two samples by chance.
     *
     * @param bad bad elements of the first sample
     * @param size size of the first sample
     * @param otherBad bad elements of the second sample
     * @param otherSize size of the second sample
     */
    static double upperTail(long bad, long size, long otherBad, long otherSize) {
        long allBad = bad + otherBad;
        long largest = Math.min(size, allBad);
        double logTerm = logChoose(size, bad) + logChoose(otherSize, otherBad) - logChoose(size + otherSize, allBad);
        double tail = 0;
        for (long k = bad; k <= largest; k++) {
            tail += Math.exp(logTerm);
            logTerm += Math.log((double) (allBad - k) / (k + 1))
                    + Math.log((double) (size - k) / (otherSize - allBad + k + 1));
        }
        return Math.min(1, tail);
    }

    private static double logChoose(long elements, long chosen) {
        long fewer = Math.min(chosen, elements - chosen);
        double sum = 0;
        for (long k = 1; k <= fewer; k++) {
            sum += Math.log((double) (elements - fewer + k) / k);
        }
        return sum;
    }
}
