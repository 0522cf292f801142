package io.masticfold.core.forward;

import java.util.List;

/**
 * Describes a stage that has to complete before a request can run.
 *
 * @param pool name of the stage pool that runs the stage
 * @param inputStages numbers of the stages whose results are the inputs of this stage
 * @param resultBytes approximate size of one result, in bytes
 */
public record StageSpec(String pool, List<Integer> inputStages, long resultBytes) {

    /** Copies the list and validates the size. */
    public StageSpec {
        inputStages = List.copyOf(inputStages);
        if (resultBytes < 0) {
            throw new IllegalArgumentException("resultBytes must not be negative: " + resultBytes);
        }
    }
}
