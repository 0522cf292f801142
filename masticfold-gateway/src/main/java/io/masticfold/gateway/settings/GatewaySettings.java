package io.masticfold.gateway.settings;

import io.masticfold.core.rollout.RolloutSettings;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Holds the settings of one gateway.
 *
 * @param node name of the machine
 * @param zone availability zone of the machine
 * @param listen address on which callers connect
 * @param readiness address of the readiness probe
 * @param peer address on which other gateways connect
 * @param seeds addresses of gateways to contact while no gateway is known, such as at a start without the store
 * @param store address of the platform's object store
 * @param metricsPort port of the metrics page; 0 disables it
 * @param grace time between the termination signal and the kill of the process
 * @param drain time within which a leaving target must receive no more work
 * @param retryRatio maximum ratio of retries to requests of a pool
 * @param retryExtra retries beyond that ratio in one window, over all gateways
 * @param retryWindow length of the window of the retry limit
 * @param coldFactor factor on the request rate that a cold target sustains
 * @param coldSlack requests per second beyond that rate
 * @param hedgeRatio largest share of the sends of a route that are repeated at a second target because their answer is
 *     late; 0 disables it
 * @param rollout limits of orders that move a pool to another software version; empty if there are no such orders
 */
public record GatewaySettings(
        String node,
        String zone,
        InetSocketAddress listen,
        InetSocketAddress readiness,
        InetSocketAddress peer,
        List<InetSocketAddress> seeds,
        InetSocketAddress store,
        int metricsPort,
        Duration grace,
        Duration drain,
        double retryRatio,
        double retryExtra,
        Duration retryWindow,
        double coldFactor,
        double coldSlack,
        double hedgeRatio,
        Optional<RolloutSettings> rollout) {

    /** Above this share, second sends would be a considerable part of the load that they are meant to avoid. */
    static final double MAX_HEDGE_RATIO = 0.2;

    /** Copies the list of seeds and validates the values. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
        if (node.isEmpty()) {
            throw new IllegalArgumentException("node must not be empty");
        }
        if (!(hedgeRatio >= 0 && hedgeRatio <= MAX_HEDGE_RATIO)) {
            throw new IllegalArgumentException("hedgeRatio must be 0 to " + MAX_HEDGE_RATIO + ": " + hedgeRatio);
        }
        if (retryRatio < 0 || retryExtra < 0) {
            throw new IllegalArgumentException(
                    "retryRatio and retryExtra must not be negative: " + retryRatio + ", " + retryExtra);
        }
    }

    /** Returns whether a change to other settings takes effect without a restart. */
    public boolean canReloadTo(GatewaySettings other) {
        return node.equals(other.node)
                && zone.equals(other.zone)
                && listen.equals(other.listen)
                && readiness.equals(other.readiness)
                && peer.equals(other.peer)
                && store.equals(other.store)
                && metricsPort == other.metricsPort
                && rollout.isPresent() == other.rollout.isPresent();
    }
}
