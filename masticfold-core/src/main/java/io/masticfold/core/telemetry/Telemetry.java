package io.masticfold.core.telemetry;

import io.masticfold.core.error.ErrorKind;

/** Records metrics of request processing. Implementations are thread-safe. */
public interface Telemetry {

    /** Records nothing. */
    Telemetry NONE = new Telemetry() {};

    /** Counts a refused or failed request or attempt by reason. */
    default void refused(ErrorKind reason) {}

    /** Counts a retry by the error kind of the previous attempt. */
    default void retried(ErrorKind reason) {}

    /** Counts an event by name, for example {@code late_outcome}. */
    default void count(String event) {}

    /**
     * Records the end of a request.
     *
     * @param kind kind of the request's route
     * @param outcome how the request ended; one of a fixed set of values
     * @param elapsedNanos time since the request was read, in nanoseconds
     */
    default void request(String kind, String outcome, long elapsedNanos) {}

    /**
     * Records the execution of a stage.
     *
     * @param pool pool of the target
     * @param cost cost of the stage, in the unit of the pool
     * @param elapsedNanos time from dispatch to result, in nanoseconds
     */
    default void stage(String pool, double cost, long elapsedNanos) {}
}
