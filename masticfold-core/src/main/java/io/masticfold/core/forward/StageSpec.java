package io.masticfold.core.forward;

import java.util.List;

/**
 * Describes work that a stage pool does before a request can run.
 *
 * @param pool name of the stage pool
 * @param after numbers of the stages whose results this stage reads
 * @param resultBytes approximate size of one result, in bytes
 */
public record StageSpec(String pool, List<Integer> after, long resultBytes) {

    /** Copies the list and checks the size. */
    public StageSpec {
        after = List.copyOf(after);
        if (resultBytes < 0) {
            throw new IllegalArgumentException("resultBytes must not be negative: " + resultBytes);
        }
    }
}
