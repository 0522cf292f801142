package io.masticfold.core.model;

/**
 * Describes one stage of a pipeline.
 *
 * @param name name of the stage, unique within the pipeline
 * @param pool name of the pool of targets that run the stage
 * @param idempotent whether the stage may be run more than once for a request
 * @param minimumMillis minimum time the stage needs, in milliseconds; with less time remaining it is refused
 * @param cost cost of one run, in the unit of the pool
 * @param streaming whether the stage streams its result
 */
public record Stage(String name, String pool, boolean idempotent, int minimumMillis, double cost, boolean streaming) {

    /** Validates the specification. */
    public Stage {
        SpecChecks.checkName("stage", name);
        SpecChecks.checkName("pool", pool);
        SpecChecks.checkRange("minimumMillis", minimumMillis, 0, Contract.MAX_WINDOW_MILLIS);
        SpecChecks.checkPositive("cost", cost);
    }
}
