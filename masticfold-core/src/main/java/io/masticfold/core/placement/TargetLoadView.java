package io.masticfold.core.placement;

import io.masticfold.core.directory.TargetRecord;

/**
 * Holds the load of a target as a gateway sees it when it places a request.
 *
 * @param target the target
 * @param inFlight unanswered requests of this gateway, or of all gateways where they tell each other
 * @param queuedTokens prompt tokens of those that have not produced a token yet
 * @param reportedRunning running requests reported by the target, 0 if unknown or outdated
 * @param reportedWaiting waiting requests reported by the target, 0 if unknown or outdated
 * @param sameZone whether the target is in the availability zone of this gateway
 * @param recentlyFailed whether requests of this gateway failed there recently
 * @param pace duration of work there at this moment relative to the usual one; 1 if it reports none
 */
public record TargetLoadView(
        TargetRecord target,
        int inFlight,
        long queuedTokens,
        int reportedRunning,
        int reportedWaiting,
        boolean sameZone,
        boolean recentlyFailed,
        double pace) {}
