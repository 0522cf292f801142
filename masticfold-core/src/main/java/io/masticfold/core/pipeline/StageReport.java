package io.masticfold.core.pipeline;

/**
 * Reports how one stage of an answered request went.
 *
 * @param name name of the stage
 * @param target target that ran it
 * @param elapsedMicros time from the first dispatch to the result, in microseconds
 * @param attempts number of attempts
 */
public record StageReport(String name, String target, long elapsedMicros, int attempts) {}
