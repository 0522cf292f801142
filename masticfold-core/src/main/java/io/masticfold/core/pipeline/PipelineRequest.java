package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.time.Deadline;
import org.jspecify.annotations.Nullable;

/**
 * Describes an authenticated and validated request.
 *
 * @param requestId id of the request
 * @param contract contract of the caller's workspace
 * @param pipeline pipeline to run
 * @param idempotencyKey idempotency key of the caller, null if none was sent
 * @param body input of the first stage
 * @param streaming whether the caller requested the result of the last stage as a stream
 * @param deadline time at which the window of the contract ends
 */
public record PipelineRequest(
        String requestId,
        Contract contract,
        Pipeline pipeline,
        @Nullable String idempotencyKey,
        Payload body,
        boolean streaming,
        Deadline deadline) {}
