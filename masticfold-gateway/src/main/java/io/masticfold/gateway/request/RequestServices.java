package io.masticfold.gateway.request;

import io.masticfold.gateway.stage.StageGate;
import io.masticfold.gateway.stage.StagePools;

/**
 * Holds the collaborators that all request runs share.
 *
 * @param stages pools of stage servers
 * @param gate admits requests to their stages
 * @param targets pools of targets
 * @param requestBuilder builds the requests sent to targets
 */
record RequestServices(StagePools stages, StageGate gate, TargetPools targets, TargetRequestBuilder requestBuilder) {}
