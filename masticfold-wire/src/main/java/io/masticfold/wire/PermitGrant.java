package io.masticfold.wire;

import java.time.Duration;

/**
 * Answers a request for a weight-store permit.
 *
 * @param granted whether the load may start
 * @param term time for which the permit is valid, zero if none was granted
 */
public record PermitGrant(boolean granted, Duration term) {

    /** The answer that grants nothing. */
    public static final PermitGrant DENIED = new PermitGrant(false, Duration.ZERO);
}
