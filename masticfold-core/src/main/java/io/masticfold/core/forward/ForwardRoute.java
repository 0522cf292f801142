package io.masticfold.core.forward;

import java.time.Duration;
import java.util.List;

/**
 * Describes how the requests of a host and path prefix are served.
 *
 * @param name name of the route
 * @param host value of the host header, in lower case
 * @param pathPrefix prefix of the path; begins and ends with a slash
 * @param kind what may be repeated and how the answer is passed on
 * @param timeout longest time a caller is kept waiting for the whole answer
 * @param aim time within which the answer, or the first event of a stream, is on time
 * @param priority rank of the route; 0 is the most urgent
 * @param maxAttempts most targets that one request is sent to
 * @param pools pools that serve the route
 * @param stages work done before a request runs, in order of the stage numbers
 * @param open whether a request needs no key
 * @param cacheAffinity whether requests gain from a target that has read the same prompt parts
 */
public record ForwardRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration aim,
        int priority,
        int maxAttempts,
        List<PoolShare> pools,
        List<StageSpec> stages,
        boolean open,
        boolean cacheAffinity) {

    /** Copies the lists and checks the values. */
    public ForwardRoute {
        pools = List.copyOf(pools);
        stages = List.copyOf(stages);
        if (!pathPrefix.startsWith("/") || !pathPrefix.endsWith("/")) {
            throw new IllegalArgumentException("pathPrefix must begin and end with a slash: " + pathPrefix);
        }
        if (maxAttempts < 1) {
            throw new IllegalArgumentException("maxAttempts of route " + name + " must be positive: " + maxAttempts);
        }
        if (pools.isEmpty()) {
            throw new IllegalArgumentException("pools of route " + name + " must not be empty");
        }
        for (int stage = 0; stage < stages.size(); stage++) {
            for (int before : stages.get(stage).after()) {
                if (before < 0 || before >= stages.size() || before == stage) {
                    throw new IllegalArgumentException("stage " + stage + " of route " + name + " follows " + before);
                }
            }
        }
    }

    /**
     * Chooses the pool of a request by the weights.
     *
     * @param draw a number from 0 (inclusive) to 1 (exclusive)
     */
    public String choosePool(double draw) {
        double total = pools.stream().mapToDouble(PoolShare::weight).sum();
        double left = draw * total;
        for (PoolShare share : pools) {
            left -= share.weight();
            if (left < 0) {
                return share.pool();
            }
        }
        return pools.get(pools.size() - 1).pool();
    }
}
