package io.masticfold.core.model;

import java.util.List;

/**
 * Describes the stages that one request runs through, the result of each being the input of the next.
 *
 * @param name name of the pipeline
 * @param stages one to sixteen stages
 * @param maxBodyBytes largest request body, in bytes
 */
public record Pipeline(String name, List<Stage> stages, int maxBodyBytes) implements ConfigSpec {

    /** Largest request body any pipeline may accept, in bytes. */
    public static final int MAX_BODY_BYTES = 1024 * 1024;

    /** Most stages a pipeline may have. */
    public static final int MAX_STAGES = 16;

    /** Checks the ranges and that stage names differ. */
    public Pipeline {
        ModelSupport.checkName("pipeline", name);
        stages = List.copyOf(stages);
        ModelSupport.checkRange("number of stages", stages.size(), 1, MAX_STAGES);
        ModelSupport.checkRange("maxBodyBytes", maxBodyBytes, 1, MAX_BODY_BYTES);
        long names = stages.stream().map(Stage::name).distinct().count();
        if (names != stages.size()) {
            throw new IllegalArgumentException("stage names of pipeline '" + name + "' must differ: " + stages);
        }
    }

    /** Returns whether every stage may be repeated. */
    public boolean idempotent() {
        return stages.stream().allMatch(Stage::idempotent);
    }

    /** Returns the cost of one run through all stages. */
    public double cost() {
        return stages.stream().mapToDouble(Stage::cost).sum();
    }

    @Override
    public ObjectKind kind() {
        return ObjectKind.PIPELINE;
    }
}
