package io.masticfold.gateway.protocol;

import java.time.Duration;
import java.util.OptionalDouble;
import java.util.Set;

/**
 * What a target says of itself in the head of a response.
 *
 * @param limit requests per second that it takes from all gateways together; empty if it names none
 * @param leaving whether it leaves and is to be sent nothing more
 * @param pause time for which it wants nothing from this gateway; zero if it asks for none
 * @param malformed defects of the signals, each counted
 */
public record TargetSignals(OptionalDouble limit, boolean leaving, Duration pause, Set<MalformedSignal> malformed) {

    /** Validates the pause and copies the defects. */
    public TargetSignals {
        if (pause.isNegative()) {
            throw new IllegalArgumentException("pause must not be negative: " + pause);
        }
        malformed = Set.copyOf(malformed);
    }
}
