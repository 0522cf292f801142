package io.masticfold.gateway.protocol;

import java.time.Duration;
import java.util.OptionalDouble;

/**
 * What a target says of itself in the head of a response.
 *
 * @param limit requests per second that it takes from all gateways together; empty if it names none
 * @param leaving whether it leaves and is to be sent nothing more
 * @param pause time for which it wants nothing from this gateway; zero if it asks for none
 */
public record TargetSignals(OptionalDouble limit, boolean leaving, Duration pause) {

    /** Validates the pause. */
    public TargetSignals {
        if (pause.isNegative()) {
            throw new IllegalArgumentException("pause must not be negative: " + pause);
        }
    }
}
