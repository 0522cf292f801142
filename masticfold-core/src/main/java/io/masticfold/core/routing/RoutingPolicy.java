package io.masticfold.core.routing;

import java.util.List;

/** Chooses one of several candidates. */
interface RoutingPolicy {

    /**
     * Chooses a candidate.
     *
     * @param candidates at least one candidate, none excluded or ejected
     * @param request what the target is chosen for
     */
    Candidate choose(List<Candidate> candidates, RouteRequest request);
}
