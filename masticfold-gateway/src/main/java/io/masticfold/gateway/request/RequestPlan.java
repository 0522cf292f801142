package io.masticfold.gateway.request;

import io.masticfold.core.forward.ForwardRoute;
import io.masticfold.core.placement.PromptPrefix;
import io.masticfold.core.time.Deadline;
import io.masticfold.gateway.http.CallerRequest;
import io.masticfold.gateway.protocol.CallerMetadata;

/**
 * Holds what was decided about a request when it was routed.
 *
 * @param request the request
 * @param metadata what its headers say to the system
 * @param route route of the request
 * @param pool pool that serves it
 * @param workspace workspace of its key; empty on open routes
 * @param rank rank among all requests; 0 is the most urgent
 * @param prompt shared beginning of its prompt
 * @param deadline end of the time it may take
 * @param configVersion version of the configuration that decided
 */
record RequestPlan(
        CallerRequest request,
        CallerMetadata metadata,
        ForwardRoute route,
        String pool,
        String workspace,
        int rank,
        PromptPrefix prompt,
        Deadline deadline,
        long configVersion) {}
