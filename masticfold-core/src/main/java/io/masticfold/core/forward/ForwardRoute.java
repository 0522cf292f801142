package io.masticfold.core.forward;

import java.time.Duration;
import java.util.List;

/**
 * Describes how requests for a host and path prefix are served.
 *
 * @param name name of the route
 * @param host value of the Host header, in lower case
 * @param pathPrefix prefix of the path; starts and ends with a slash
 * @param kind whether requests may be repeated and answers are streamed
 * @param timeout longest time until the complete answer
 * @param latencyObjective latency objective for the answer, or for the first event of a stream
 * @param eventPatience longest time that a caller waits for the first or the next event of a stream; the timeout for
 *     routes without streams
 * @param priority priority of the route; 0 is the highest
 * @param maxAttempts largest number of targets that may run one request
 * @param pools pools that serve the route, with their weights
 * @param stages stages that run before a request, by stage number
 * @param publicAccess whether requests need no API key
 * @param cacheAffinity whether requests benefit from a target that has cached the same prompt prefix
 */
public record ForwardRoute(
        String name,
        String host,
        String pathPrefix,
        RequestKind kind,
        Duration timeout,
        Duration latencyObjective,
        Duration eventPatience,
        int priority,
        int maxAttempts,
        List<PoolShare> pools,
        List<StageSpec> stages,
        boolean publicAccess,
        boolean cacheAffinity) {

    /** Copies the lists and validates the values. */
    public ForwardRoute {
        if (eventPatience.isNegative() || eventPatience.isZero()) {
            throw new IllegalArgumentException(
                    "eventPatience of route " + name + " must be positive: " + eventPatience);
        }
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
            for (int input : stages.get(stage).inputStages()) {
                if (input < 0 || input >= stages.size() || input == stage) {
                    throw new IllegalArgumentException("stage " + stage + " of route " + name + " follows " + input);
                }
            }
        }
    }

    /**
     * Returns the time within which the answer, or the first event of a stream, must be sent.
     *
     * @param callerWindow time for which the caller waits for the complete answer
     */
    public Duration firstAnswerWindow(Duration callerWindow) {
        Duration complete = callerWindow.compareTo(timeout) < 0 ? callerWindow : timeout;
        return complete.compareTo(eventPatience) < 0 ? complete : eventPatience;
    }

    /**
     * Chooses the pool of a request at random, in proportion to the weights.
     *
     * @param draw a uniform random number from 0 (inclusive) to 1 (exclusive)
     */
    public String choosePool(double draw) {
        double totalWeight = pools.stream().mapToDouble(PoolShare::weight).sum();
        double remaining = draw * totalWeight;
        for (PoolShare share : pools) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.pool();
            }
        }
        return pools.get(pools.size() - 1).pool();
    }
}
