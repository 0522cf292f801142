package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.AttemptIdSource;
import io.masticfold.core.claim.ClaimProtocol;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.routing.Router;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.TimeSource;

/**
 * Holds what all runs of an entry share.
 *
 * @param settings settings of the runs
 * @param router chooses targets
 * @param claims settles claims of non-idempotent stages
 * @param ids issues attempt ids
 * @param retries bounds retries and hedges
 * @param telemetry counts what the runs do
 * @param time supplies the time for deadlines
 */
record PipelineContext(
        PipelineSettings settings,
        Router router,
        ClaimProtocol claims,
        AttemptIdSource ids,
        RetryBudget retries,
        Telemetry telemetry,
        TimeSource time) {}
