package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.time.Deadline;
import org.jspecify.annotations.Nullable;

/**
 * Describes an authenticated request that passed the entry's checks.
 *
 * @param requestId id of the request
 * @param contract contract of the caller's workspace
 * @param pipeline pipeline to run
 * @param idempotencyKey the caller's key, null if none was sent
 * @param body input of the first stage
 * @param streaming whether the caller wants the last stage as a stream
 * @param deadline end of the agreed window
 */
public record PipelineRequest(
        String requestId,
        Contract contract,
        Pipeline pipeline,
        @Nullable String idempotencyKey,
        Payload body,
        boolean streaming,
        Deadline deadline) {}
