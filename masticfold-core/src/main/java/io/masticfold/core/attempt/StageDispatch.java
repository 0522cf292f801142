package io.masticfold.core.attempt;

/**
 * Request to the agent of a target to run one attempt of a stage.
 *
 * @param attempt id of the attempt; the entry sends each id at most once
 * @param requestId id of the caller's request, for logs and responses
 * @param workspace workspace of the caller
 * @param pipeline name of the pipeline
 * @param stage index of the stage within the pipeline, from 0
 * @param target name of the target that is to run the stage
 * @param agent incarnation of the agent the attempt is addressed to
 * @param idempotent whether the stage may be repeated
 * @param priority of the contract, from 0 (lowest) to 9
 * @param worth business value of the request
 * @param budgetMicros time left until the deadline of the request when the message is written, in microseconds
 * @param minimumMicros minimum time that the stage needs, in microseconds
 * @param streaming whether the result is sent in chunks as they become available
 * @param resumeOffset number of bytes of the result that the entry has already received
 * @param prefixHash hash of the prompt prefix, or 0 if none
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

    /** Validates the stage index and the resume offset. */
    public StageDispatch {
        if (stage < 0) {
            throw new IllegalArgumentException("stage must not be negative: " + stage);
        }
        if (resumeOffset < 0) {
            throw new IllegalArgumentException("resumeOffset must not be negative: " + resumeOffset);
        }
    }
}
