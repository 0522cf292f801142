package io.masticfold.gateway.request;

import io.masticfold.gateway.stage.StagePools;

/**
 * Holds what the runs of requests share.
 *
 * @param stages stage pools
 * @param targets pools of targets
 * @param requests builds the requests to targets
 */
record RequestServices(StagePools stages, TargetPools targets, TargetRequests requests) {}
