package io.masticfold.core.matrix;

import io.masticfold.core.attempt.StageDispatch;

/**
 * Records that a target started to execute a call.
 *
 * @param target the name of the target
 * @param dispatch the attempt that was executed
 * @param atNanos the virtual time of the start, in nanoseconds
 */
record Execution(String target, StageDispatch dispatch, long atNanos) {}
