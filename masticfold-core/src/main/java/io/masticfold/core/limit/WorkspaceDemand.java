package io.masticfold.core.limit;

/**
 * Reports the demand of a workspace at one entry.
 *
 * @param workspace the workspace
 * @param perSecond requests per second that arrive at the entry
 * @param limitPerSecond contract rate over all entries, in requests per second
 */
public record WorkspaceDemand(String workspace, double perSecond, double limitPerSecond) {

    /** Validates the ranges. */
    public WorkspaceDemand {
        if (!(perSecond >= 0) || !(limitPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "demand must not be negative and the limit positive: " + perSecond + ", " + limitPerSecond);
        }
    }
}
