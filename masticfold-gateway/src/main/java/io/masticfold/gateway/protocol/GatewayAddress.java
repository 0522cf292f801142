package io.masticfold.gateway.protocol;

import java.net.InetSocketAddress;

/**
 * Describes a gateway and how its peers reach it.
 *
 * @param name name of the machine it runs on
 * @param zone its availability zone
 * @param peerAddress address at which it accepts connections of its peers
 * @param generation number of takeovers of the name by a process at another address, from 1; 0 if it is not known
 */
public record GatewayAddress(String name, String zone, InetSocketAddress peerAddress, long generation) {

    /** Returns the same gateway with another generation. */
    public GatewayAddress withGeneration(long next) {
        return new GatewayAddress(name, zone, peerAddress, next);
    }
}
