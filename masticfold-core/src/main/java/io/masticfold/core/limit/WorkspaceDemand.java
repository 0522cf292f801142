package io.masticfold.core.limit;

/**
 * Reports what one entry is asked for by one workspace.
 *
 * @param workspace the workspace
 * @param perSecond requests that arrive at the entry, per second
 * @param limitPerSecond agreed rate of the contract over all entries, in requests per second
 */
public record WorkspaceDemand(String workspace, double perSecond, double limitPerSecond) {

    /** Checks the ranges. */
    public WorkspaceDemand {
        if (!(perSecond >= 0) || !(limitPerSecond > 0)) {
            throw new IllegalArgumentException(
                    "demand must not be negative and the limit positive: " + perSecond + ", " + limitPerSecond);
        }
    }
}
