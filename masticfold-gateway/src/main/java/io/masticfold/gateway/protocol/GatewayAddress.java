package io.masticfold.gateway.protocol;

import java.net.InetSocketAddress;

/**
 * Describes a gateway and how its peers reach it.
 *
 * @param name name of the machine it runs on
 * @param zone its availability zone
 * @param peerAddress address at which it accepts connections of its peers
 */
public record GatewayAddress(String name, String zone, InetSocketAddress peerAddress) {}
