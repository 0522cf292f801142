package io.masticfold.core.placement;

import io.masticfold.core.directory.TargetRecord;

/**
 * A target that a request may be sent to, with what its expected completion time depends on.
 *
 * @param target the target
 * @param inFlight requests of all gateways that run or wait there
 * @param queuedTokens prompt tokens of those that have not produced a token yet
 * @param slowdown factor by which the target is slower than an average one
 * @param failureRate share of recent sends that failed, 0 to 1
 * @param suspect whether the last sends of this gateway failed there
 * @param sameZone whether the target is in the availability zone of this gateway
 */
public record TargetCandidate(
        TargetRecord target,
        int inFlight,
        long queuedTokens,
        double slowdown,
        double failureRate,
        boolean suspect,
        boolean sameZone) {

    /** Returns the share of sends that are expected to fail; a suspect target is expected to fail again. */
    double expectedFailureRate() {
        return suspect ? 1 : failureRate;
    }
}
