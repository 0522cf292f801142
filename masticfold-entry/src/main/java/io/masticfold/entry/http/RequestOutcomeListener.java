package io.masticfold.entry.http;

import io.masticfold.core.pipeline.PipelineRequest;
import io.masticfold.core.pipeline.PipelineResult;
import io.masticfold.core.pipeline.RequestFailure;

/** Receives the outcome of an admitted request. */
interface RequestOutcomeListener {

    /** Called when the request completed successfully. */
    void completed(PipelineRequest request, PipelineResult result);

    /** Called when the request failed. */
    void failed(PipelineRequest request, RequestFailure failure);
}
