package io.masticfold.core.routing;

import java.util.Set;

/**
 * Describes an attempt for which a target is chosen.
 *
 * @param pool pool of targets that run the stage
 * @param zone availability zone of the entry
 * @param prefixHash hash of the prompt prefix, 0 for none
 * @param excluded names of targets already tried
 */
public record RouteRequest(String pool, String zone, long prefixHash, Set<String> excluded) {

    /** Copies the set. */
    public RouteRequest {
        excluded = Set.copyOf(excluded);
    }
}
