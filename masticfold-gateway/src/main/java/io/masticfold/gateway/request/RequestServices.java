package io.masticfold.gateway.request;

import io.masticfold.gateway.stage.StageAdmissionQueue;
import io.masticfold.gateway.stage.StageDispatcher;

/**
 * Holds what the runs of requests share.
 *
 * @param stages stage pools
 * @param gate lets requests begin their stages
 * @param targets pools of targets
 * @param requests builds the requests to targets
 */
record RequestServices(
        StageDispatcher stages, StageAdmissionQueue gate, TargetPools targets, TargetRequests requests) {}
