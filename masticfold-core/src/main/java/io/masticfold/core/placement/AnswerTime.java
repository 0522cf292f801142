package io.masticfold.core.placement;

/**
 * Time until a target answered a request or sent the first event, with the conditions that it met.
 *
 * @param tokens prompt tokens that the target had to read first; 0 for plain services
 * @param inFlight requests of all gateways that were there before it
 * @param slots requests that the target runs concurrently
 * @param observedMillis time that it took, in milliseconds
 */
public record AnswerTime(long tokens, int inFlight, int slots, double observedMillis) {

    /** Returns the time that an average target would have needed, in milliseconds. */
    public double expectedMillis(ServiceTimeModel model) {
        return model.millis(tokens) * batchFactor(inFlight, slots);
    }

    /** Adds this observation to the model. */
    public void recordTo(ServiceTimeModel model) {
        model.record(tokens, observedMillis / batchFactor(inFlight, slots));
    }

    /**
     * Returns by which factor the requests of a batch slow one another down. A full batch is taken to double the time,
     * since targets do not tell how much theirs slows.
     */
    static double batchFactor(int inFlight, int slots) {
        return 1 + Math.min(1, inFlight / (double) Math.max(1, slots));
    }
}
