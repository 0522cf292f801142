package io.masticfold.entry.http;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.pipeline.PipelineRequest;
import io.masticfold.core.time.Deadline;
import org.jspecify.annotations.Nullable;

/**
 * Holds the checked parts of a request other than its body.
 *
 * @param requestId id of the request
 * @param contract contract of the caller's workspace
 * @param pipeline pipeline to run
 * @param idempotencyKey the caller's key, null if none was sent
 * @param stream whether the caller accepts server-sent events
 * @param deadline end of the agreed window
 */
record RequestHead(
        String requestId,
        Contract contract,
        Pipeline pipeline,
        @Nullable String idempotencyKey,
        boolean stream,
        Deadline deadline) {

    PipelineRequest withBody(Payload body) {
        return new PipelineRequest(requestId, contract, pipeline, idempotencyKey, body, stream, deadline);
    }
}
