package io.masticfold.core.admission;

import io.masticfold.core.placement.PoolForecast;
import java.time.Duration;
import java.util.Optional;

/**
 * State of the pool and of the gateway at the moment of a decision.
 *
 * @param forecast how the pool would serve the request now; empty if nothing is known, so that it is sent
 * @param loopDelay delay of the gateway's own event loop
 * @param gateways number of gateways that share the pool; at least 1
 */
public record AdmissionOutlook(Optional<PoolForecast> forecast, Duration loopDelay, int gateways) {

    /** Validates the number of gateways. */
    public AdmissionOutlook {
        if (gateways < 1) {
            throw new IllegalArgumentException("gateways must be at least 1: " + gateways);
        }
    }
}
