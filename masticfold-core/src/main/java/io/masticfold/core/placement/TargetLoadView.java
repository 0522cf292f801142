package io.masticfold.core.placement;

import io.masticfold.core.directory.TargetRecord;

/**
 * Holds what one gateway knows of a target when it places a request.
 *
 * @param target the target
 * @param inFlight own requests sent there and not answered
 * @param queuedTokens prompt tokens of own requests there that have not produced a token
 * @param reportedRunning requests it said it runs, 0 if unknown or out of date
 * @param reportedWaiting requests it said wait, 0 if unknown or out of date
 * @param sameZone whether it is in the availability zone of this gateway
 * @param suspect whether own requests there failed a moment ago
 */
public record TargetLoadView(
        TargetRecord target,
        int inFlight,
        long queuedTokens,
        int reportedRunning,
        int reportedWaiting,
        boolean sameZone,
        boolean suspect) {}
