package io.masticfold.core.telemetry;

import io.masticfold.core.error.ErrorKind;

/** Counts what the decisions do. Safe for use by several threads. */
public interface Telemetry {

    /** Counts nothing. */
    Telemetry NONE = new Telemetry() {};

    /** Counts a refusal by reason. */
    default void refused(ErrorKind reason) {}

    /** Counts a retry by the reason of the attempt before it. */
    default void retried(ErrorKind reason) {}

    /** Counts an event by name, for example {@code late_outcome}. */
    default void count(String event) {}

    /**
     * Records the end of a request.
     *
     * @param kind kind of the request's route
     * @param outcome how it ended, from a closed list
     * @param elapsedNanos time since it was read, in nanoseconds
     */
    default void request(String kind, String outcome, long elapsedNanos) {}

    /**
     * Records the run of a stage.
     *
     * @param pool pool of the target
     * @param cost cost of the stage in the pool's unit
     * @param elapsedNanos time from dispatch to result, in nanoseconds
     */
    default void stage(String pool, double cost, long elapsedNanos) {}
}
