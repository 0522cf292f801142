package io.masticfold.gateway.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;

/**
 * Holds the settings of one gateway.
 *
 * @param node name of the machine
 * @param zone availability zone of the machine
 * @param listen address for callers
 * @param readiness address of the readiness probe
 * @param peer address at which other gateways ask for what this one knows
 * @param seeds addresses at which some other gateways may answer while the store is away
 * @param store address of the platform's object store
 * @param metricsPort port of the metrics page; 0 serves none
 * @param grace time between the request to stop and the kill
 * @param drain time within which a target that leaves gets no more work
 * @param retryRatio share of a pool's requests that may be sent again
 * @param retryExtra sends beyond that share in one window, of all gateways together
 * @param retryWindow length of that window
 * @param coldFactor factor on the rate that a cold target bears
 * @param coldSlack requests a second beyond that rate
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
        double coldSlack) {

    /** Copies the list and checks the ranges. */
    public GatewaySettings {
        seeds = List.copyOf(seeds);
        if (node.isEmpty()) {
            throw new IllegalArgumentException("node must not be empty");
        }
        if (retryRatio < 0 || retryExtra < 0) {
            throw new IllegalArgumentException("retryRatio must not be negative: " + retryRatio + ", " + retryExtra);
        }
    }

    /** Returns whether other settings can be put in force without a restart. */
    public boolean sameProcess(GatewaySettings other) {
        return node.equals(other.node)
                && zone.equals(other.zone)
                && listen.equals(other.listen)
                && readiness.equals(other.readiness)
                && peer.equals(other.peer)
                && store.equals(other.store)
                && metricsPort == other.metricsPort;
    }
}
