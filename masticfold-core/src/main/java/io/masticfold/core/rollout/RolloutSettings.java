package io.masticfold.core.rollout;

import java.time.Duration;

/**
 * Limits that operators set for all orders.
 *
 * @param exposeShare largest share of a pool's requests that a version may get before it is known to be sound
 * @param exposeSlack requests beyond that share, of all gateways together
 * @param rollbackDelay time after the fiftieth bad response within which a bad version gets no more requests
 */
public record RolloutSettings(double exposeShare, double exposeSlack, Duration rollbackDelay) {

    /** Validates the ranges. */
    public RolloutSettings {
        if (!(exposeShare > 0 && exposeShare <= 1) || !(exposeSlack >= 0)) {
            throw new IllegalArgumentException("exposeShare must be above 0 and at most 1, exposeSlack not negative: "
                    + exposeShare + ", " + exposeSlack);
        }
    }
}
