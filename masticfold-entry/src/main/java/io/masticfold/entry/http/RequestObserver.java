package io.masticfold.entry.http;

import io.masticfold.core.pipeline.PipelineRequest;
import io.masticfold.core.pipeline.PipelineResult;
import io.masticfold.core.pipeline.RequestFailure;

/** Hears the final answer of each request that was admitted. */
interface RequestObserver {

    /** Hears of a whole answer. */
    void completed(PipelineRequest request, PipelineResult result);

    /** Hears of an error answer. */
    void failed(PipelineRequest request, RequestFailure failure);
}
