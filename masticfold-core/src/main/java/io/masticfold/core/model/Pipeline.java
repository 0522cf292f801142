package io.masticfold.core.model;

import java.util.List;

/**
 * Describes the stages that a request passes through; the result of each stage is the input of the next.
 *
 * @param name name of the pipeline
 * @param stages the stages, 1 to 16
 * @param maxBodyBytes maximum size of a request body, in bytes
 */
public record Pipeline(String name, List<Stage> stages, int maxBodyBytes) implements ConfigSpec {

    /** Maximum value of {@code maxBodyBytes}, in bytes. */
    public static final int MAX_BODY_BYTES = 1024 * 1024;

    /** Maximum number of stages. */
    public static final int MAX_STAGES = 16;

    /** Validates the specification and that stage names are unique. */
    public Pipeline {
        SpecChecks.checkName("pipeline", name);
        stages = List.copyOf(stages);
        SpecChecks.checkRange("number of stages", stages.size(), 1, MAX_STAGES);
        SpecChecks.checkRange("maxBodyBytes", maxBodyBytes, 1, MAX_BODY_BYTES);
        long names = stages.stream().map(Stage::name).distinct().count();
        if (names != stages.size()) {
            throw new IllegalArgumentException("stage names of pipeline '" + name + "' must differ: " + stages);
        }
    }

    /** Returns whether all stages are idempotent. */
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
