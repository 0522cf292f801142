package io.masticfold.core.routing;

import java.util.List;

/** Chooses a target among candidates. */
interface RoutingPolicy {

    /**
     * Chooses a candidate.
     *
     * @param candidates at least one candidate, none excluded or ejected
     * @param request describes the attempt
     */
    Candidate choose(List<Candidate> candidates, RouteRequest request);
}
