package io.masticfold.core.attempt;

/**
 * Asks the agent of a target to run one attempt of one stage.
 *
 * @param attempt id of the attempt, never sent twice by the entry
 * @param requestId id of the caller's request, for logs and answers
 * @param workspace workspace of the caller
 * @param pipeline name of the pipeline
 * @param stage index of the stage within the pipeline, from 0
 * @param target name of the target meant
 * @param agent incarnation of the agent the attempt is addressed to
 * @param idempotent whether the stage may be repeated
 * @param priority contract priority, 0 (lowest) to 9
 * @param worth business worth of the request
 * @param budgetMicros time left for the request when the message is written, in microseconds
 * @param minimumMicros least time the stage needs, in microseconds
 * @param streaming whether the result is sent in chunks as it comes
 * @param resumeOffset number of result bytes the entry already holds
 * @param prefixHash hash of the prompt prefix, 0 if none
 * @param body input of the stage
 */
public record StageDispatch(
        AttemptId attempt,
        String requestId,
        String workspace,
        String pipeline,
        int stage,
        String target,
        Incarnation agent,
        boolean idempotent,
        int priority,
        double worth,
        long budgetMicros,
        long minimumMicros,
        boolean streaming,
        long resumeOffset,
        long prefixHash,
        Payload body) {

    /** Checks the ranges. */
    public StageDispatch {
        if (stage < 0) {
            throw new IllegalArgumentException("stage must not be negative: " + stage);
        }
        if (resumeOffset < 0) {
            throw new IllegalArgumentException("resumeOffset must not be negative: " + resumeOffset);
        }
    }
}
