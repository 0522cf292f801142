package io.masticfold.gateway.protocol;

import java.net.InetSocketAddress;

/**
 * Describes a gateway to its peers.
 *
 * @param name name of its machine
 * @param zone its availability zone
 * @param peerAddress address at which it answers its peers
 */
public record GatewayAddress(String name, String zone, InetSocketAddress peerAddress) {}
