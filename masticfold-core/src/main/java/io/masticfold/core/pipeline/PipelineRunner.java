package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.AttemptIdSource;
import io.masticfold.core.claim.ClaimProtocol;
import io.masticfold.core.claim.ClaimStore;
import io.masticfold.core.link.AgentLinks;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.routing.Router;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimeSource;

/**
 * Runs the stages of each request in order under one deadline. A request is processed on the event loop that submitted
 * it; replies of agent links and of the claim store are passed to that event loop. This class is thread-safe.
 */
public final class PipelineRunner implements PipelineService {

    private final PipelineContext context;

    /**
     * Creates a runner.
     *
     * @param settings settings for running requests
     * @param router chooses a target for each attempt
     * @param links finds the link to the agent that a claim names
     * @param claimStore stores the claims of non-idempotent stages
     * @param attemptIds generates attempt ids
     * @param retryBudget limits retries and hedged attempts
     * @param telemetry counts refusals, retries and late outcomes
     * @param time supplies the time for deadlines
     */
    public PipelineRunner(
            PipelineSettings settings,
            Router router,
            AgentLinks links,
            ClaimStore claimStore,
            AttemptIdSource attemptIds,
            RetryBudget retryBudget,
            Telemetry telemetry,
            TimeSource time) {
        ClaimProtocol protocol = new ClaimProtocol(claimStore, links, settings.claims(), telemetry, time);
        this.context = new PipelineContext(settings, router, protocol, attemptIds, retryBudget, telemetry, time);
    }

    @Override
    public RunningRequest submit(PipelineRequest request, Scheduler scheduler, ResponseListener listener) {
        PipelineRun run = new PipelineRun(context, request, scheduler, listener);
        run.start();
        return run;
    }
}
