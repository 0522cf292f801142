package io.masticfold.core.model;

/**
 * Describes one stage of a pipeline.
 *
 * @param name name of the stage, unique within the pipeline
 * @param pool pool of targets that run the stage
 * @param idempotent whether the stage may be repeated
 * @param minimumMillis least time the stage needs, in milliseconds; a smaller remaining budget is refused
 * @param cost cost of one run in the pool's unit
 * @param streaming whether the stage streams its result
 */
public record Stage(String name, String pool, boolean idempotent, int minimumMillis, double cost, boolean streaming) {

    /** Checks the ranges. */
    public Stage {
        ModelSupport.checkName("stage", name);
        ModelSupport.checkName("pool", pool);
        ModelSupport.checkRange("minimumMillis", minimumMillis, 0, Contract.MAX_WINDOW_MILLIS);
        ModelSupport.checkPositive("cost", cost);
    }
}
