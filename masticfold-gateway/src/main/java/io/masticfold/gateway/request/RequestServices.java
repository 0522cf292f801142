package io.masticfold.gateway.request;

import io.masticfold.core.shutdown.GracefulShutdown;
import io.masticfold.gateway.limit.TargetRateLimits;
import io.masticfold.gateway.quarantine.PoisonQuarantine;
import io.masticfold.gateway.resume.StreamVersionRegistry;
import io.masticfold.gateway.rollout.Rollouts;
import io.masticfold.gateway.stage.StageAdmissionQueue;
import io.masticfold.gateway.stage.StageDispatcher;

/**
 * Holds the collaborators that all request runs share.
 *
 * @param stages pools of stage servers
 * @param gate admits requests to their stages
 * @param targets pools of targets
 * @param requestBuilder builds the requests sent to targets
 * @param quarantine knows the requests and prompt parts that crash targets
 * @param versions knows the software versions that began streams
 * @param limits knows the rate limits that targets name
 * @param rollouts knows which software versions requests may go to
 * @param shutdown decides what is accepted while the process stops
 * @param hedging decides on second sends of requests whose answer is late
 * @param admission decides which requests are sent to their pool now, wait or are refused
 */
record RequestServices(
        StageDispatcher stages,
        StageAdmissionQueue gate,
        TargetPools targets,
        TargetRequestBuilder requestBuilder,
        PoisonQuarantine quarantine,
        StreamVersionRegistry versions,
        TargetRateLimits limits,
        Rollouts rollouts,
        GracefulShutdown shutdown,
        RequestHedging hedging,
        TargetAdmission admission) {}
