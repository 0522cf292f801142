package io.masticfold.core.pipeline;

/**
 * Describes how one stage of a completed request was executed.
 *
 * @param name name of the stage
 * @param target name of the target that ran the stage
 * @param elapsedMicros time from the first dispatch to the result, in microseconds
 * @param attempts number of attempts dispatched
 */
public record StageReport(String name, String target, long elapsedMicros, int attempts) {}
