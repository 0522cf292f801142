package io.masticfold.wire;

import java.time.Duration;

/**
 * Decision on a request for a weight-store permit.
 *
 * @param granted whether the target may start to load weights
 * @param term time for which the permit is valid, zero if it was denied
 */
public record PermitDecision(boolean granted, Duration term) {

    /** Decision that denies the permit. */
    public static final PermitDecision DENIED = new PermitDecision(false, Duration.ZERO);
}
