package io.masticfold.core.hedge;

import java.time.Duration;

/**
 * What the decision on a second send depends on at the moment at which it is due.
 *
 * @param stopping whether the gateway is stopping
 * @param suspected whether the request or a part of its prompt is quarantined or has accompanied the crash of a target
 * @param sends sends of the request so far
 * @param maxAttempts largest number of targets that may run the request
 * @param slots requests that the usable targets of the pool run concurrently
 * @param inFlight requests that run or wait there, as far as known
 * @param remaining time until the request's deadline
 */
public record HedgeConditions(
        boolean stopping, boolean suspected, int sends, int maxAttempts, int slots, int inFlight, Duration remaining) {}
