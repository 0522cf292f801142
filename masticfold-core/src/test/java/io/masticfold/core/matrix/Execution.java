package io.masticfold.core.matrix;

import io.masticfold.core.attempt.StageDispatch;

/**
 * Records that a target began to run a call.
 *
 * @param target name of the target
 * @param dispatch the attempt
 * @param atNanos virtual time of the start, in nanoseconds
 */
record Execution(String target, StageDispatch dispatch, long atNanos) {}
