package io.masticfold.core.routing;

import java.util.Optional;

/** Chooses targets for attempts. Safe for use by several threads. */
public interface Router {

    /**
     * Chooses a target and counts the attempt as in flight there until {@link Route#release}.
     *
     * @param request describes the attempt
     * @return the route, empty if no target of the pool can take the attempt
     */
    Optional<Route> choose(RouteRequest request);
}
