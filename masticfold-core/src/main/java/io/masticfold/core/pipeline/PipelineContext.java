package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.AttemptIdSource;
import io.masticfold.core.claim.ClaimProtocol;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.routing.Router;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.TimeSource;

/**
 * Holds the settings and services that all requests of an entry share.
 *
 * @param settings settings for running requests
 * @param router chooses targets
 * @param claims acquires the claims of non-idempotent stages
 * @param attemptIds generates attempt ids
 * @param retryBudget limits retries and hedged attempts
 * @param telemetry records metrics
 * @param time supplies the time for deadlines
 */
record PipelineContext(
        PipelineSettings settings,
        Router router,
        ClaimProtocol claims,
        AttemptIdSource attemptIds,
        RetryBudget retryBudget,
        Telemetry telemetry,
        TimeSource time) {}
