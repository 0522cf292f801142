package io.masticfold.gateway.protocol;

/**
 * Holds what a stage server says of itself; it can be some hundred milliseconds old.
 *
 * @param busy whether a call is worked on
 * @param waiting calls that wait
 */
public record StageReport(boolean busy, int waiting) {

    /** Checks the count. */
    public StageReport {
        if (waiting < 0) {
            throw new IllegalArgumentException("waiting must not be negative: " + waiting);
        }
    }

    /** Returns whether the server has a call. */
    public boolean hasWork() {
        return busy || waiting > 0;
    }
}
