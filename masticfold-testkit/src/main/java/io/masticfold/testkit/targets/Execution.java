package io.masticfold.testkit.targets;

/**
 * Records one run of a target.
 *
 * @param attemptId value of {@code X-Attempt-Id}
 * @param requestId value of {@code X-Request-Id}
 * @param operation the first field {@code operation} anywhere in the input, empty if there is none; tests use it to
 *     recognise one business operation over all retries
 * @param inputDigest SHA-256 of the input
 * @param priority value of {@code X-Priority}
 * @param deadlineMillis value of {@code X-Deadline-Ms}
 * @param arrivedMillis wall-clock time of arrival, in milliseconds
 * @param startedMillis wall-clock time at which it got a slot, 0 if it did not
 * @param endedMillis wall-clock time at which it ended, 0 while it has not
 * @param cold whether the target was not warm on arrival
 * @param state how it stands
 */
public record Execution(
        String attemptId,
        String requestId,
        String operation,
        String inputDigest,
        String priority,
        String deadlineMillis,
        long arrivedMillis,
        long startedMillis,
        long endedMillis,
        boolean cold,
        ExecutionState state) {

    Execution started(long nowMillis) {
        return new Execution(
                attemptId,
                requestId,
                operation,
                inputDigest,
                priority,
                deadlineMillis,
                arrivedMillis,
                nowMillis,
                0,
                cold,
                ExecutionState.RUNNING);
    }

    Execution ended(long nowMillis, ExecutionState end) {
        return new Execution(
                attemptId,
                requestId,
                operation,
                inputDigest,
                priority,
                deadlineMillis,
                arrivedMillis,
                startedMillis,
                nowMillis,
                cold,
                end);
    }
}
