package io.masticfold.gateway.request;

import io.masticfold.gateway.stage.StageDispatcher;
import io.masticfold.gateway.stage.StageGate;

/**
 * Holds what the runs of requests share.
 *
 * @param stages stage pools
 * @param gate lets requests begin their stages
 * @param targets pools of targets
 * @param requests builds the requests to targets
 */
record RequestServices(StageDispatcher stages, StageGate gate, TargetPools targets, TargetRequests requests) {}
