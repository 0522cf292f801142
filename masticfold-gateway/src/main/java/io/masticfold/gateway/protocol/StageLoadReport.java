package io.masticfold.gateway.protocol;

/**
 * Holds the load that a stage server reports; it can be some hundred milliseconds old.
 *
 * @param busy whether a call is being executed
 * @param waiting number of calls in the queue
 */
public record StageLoadReport(boolean busy, int waiting) {

    /** Checks the count. */
    public StageLoadReport {
        if (waiting < 0) {
            throw new IllegalArgumentException("waiting must not be negative: " + waiting);
        }
    }

    /** Returns whether a call is being executed or waiting. */
    public boolean hasWork() {
        return busy || waiting > 0;
    }
}
