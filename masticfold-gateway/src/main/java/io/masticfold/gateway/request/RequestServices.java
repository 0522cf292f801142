package io.masticfold.gateway.request;

import io.masticfold.gateway.stage.StageGate;
import io.masticfold.gateway.stage.StagePools;

/**
 * Holds what the runs of requests share.
 *
 * @param stages stage pools
 * @param gate lets requests begin their stages
 * @param targets pools of targets
 * @param requests builds the requests to targets
 */
record RequestServices(StagePools stages, StageGate gate, TargetPools targets, TargetRequests requests) {}
