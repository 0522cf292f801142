package io.masticfold.entry.http;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.pipeline.PipelineRequest;
import io.masticfold.core.time.Deadline;
import org.jspecify.annotations.Nullable;

/**
 * Validated request without its body.
 *
 * @param requestId id of the request
 * @param contract contract of the caller's workspace
 * @param pipeline pipeline to run
 * @param idempotencyKey idempotency key sent by the caller, or null
 * @param streaming whether the caller accepts server-sent events
 * @param deadline deadline of the request: the earlier of the contract's window and the caller's deadline
 */
record RequestHead(
        String requestId,
        Contract contract,
        Pipeline pipeline,
        @Nullable String idempotencyKey,
        boolean streaming,
        Deadline deadline) {

    PipelineRequest withBody(Payload body) {
        return new PipelineRequest(requestId, contract, pipeline, idempotencyKey, body, streaming, deadline);
    }
}
