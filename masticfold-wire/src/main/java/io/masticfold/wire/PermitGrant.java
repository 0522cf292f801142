package io.masticfold.wire;

import java.time.Duration;

/**
 * Reply to a request for a weight-store permit.
 *
 * @param granted whether the target may start to load weights
 * @param term time for which the permit is valid, zero if it was denied
 */
public record PermitGrant(boolean granted, Duration term) {

    /** Reply that denies the permit. */
    public static final PermitGrant DENIED = new PermitGrant(false, Duration.ZERO);
}
