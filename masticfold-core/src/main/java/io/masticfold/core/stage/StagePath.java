package io.masticfold.core.stage;

import java.time.Duration;

/**
 * Holds what is known of the pools along the longest chain of a request's stages.
 *
 * @param unloaded time of the chain if nothing else were to be done
 * @param expected time of the chain behind the requests that are on time
 * @param longestBacklog longest time that a new piece would wait in one of the pools
 */
public record StagePath(Duration unloaded, Duration expected, Duration longestBacklog) {}
