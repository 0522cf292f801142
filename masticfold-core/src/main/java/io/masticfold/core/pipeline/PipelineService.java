package io.masticfold.core.pipeline;

import io.masticfold.core.time.Scheduler;

/** Runs requests through pipelines. */
public interface PipelineService {

    /**
     * Starts a request. The listener may be called before this method returns.
     *
     * @param request the request
     * @param scheduler event loop of the caller, on which the request is processed and the listener is called
     * @param listener receives the response
     */
    RunningRequest submit(PipelineRequest request, Scheduler scheduler, ResponseListener listener);
}
