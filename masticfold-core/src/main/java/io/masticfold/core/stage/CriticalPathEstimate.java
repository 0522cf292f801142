package io.masticfold.core.stage;

import java.time.Duration;

/**
 * Holds the estimates for the critical path of a request: the longest chain of its stages.
 *
 * @param unloaded duration of the chain in idle pools
 * @param expected duration of the chain behind the queued requests that still meet their latency objective
 * @param longestBacklog longest time that a new piece would wait in any of the pools
 * @param longestInputWait longest time that a piece would wait in any of the pools whose stage reads earlier results
 * @param inputLifetime shortest time for which such results are stored
 */
public record CriticalPathEstimate(
        Duration unloaded,
        Duration expected,
        Duration longestBacklog,
        Duration longestInputWait,
        Duration inputLifetime) {}
