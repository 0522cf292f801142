package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Payload;
import java.util.List;

/**
 * Holds the complete response to a request.
 *
 * @param output result of the last stage
 * @param stages a report for each stage
 */
public record PipelineResult(Payload output, List<StageReport> stages) {

    /** Creates a result with a copy of the list. */
    public PipelineResult {
        stages = List.copyOf(stages);
    }
}
