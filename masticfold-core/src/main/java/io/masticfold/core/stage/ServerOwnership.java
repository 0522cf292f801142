package io.masticfold.core.stage;

import io.masticfold.core.routing.RendezvousHashing;
import java.util.Collection;

/** Selects the gateway that owns a stage server, by rendezvous hashing over the reachable gateways. */
public final class ServerOwnership {

    private ServerOwnership() {}

    /**
     * Returns the name of the gateway that owns a server.
     *
     * @param server id of the server
     * @param own name of this gateway
     * @param peers names of the reachable peers
     */
    public static String ownerOf(String server, String own, Collection<String> peers) {
        long key = RendezvousHashing.key(server);
        String owner = own;
        long highest = RendezvousHashing.weight(key, own);
        for (String peer : peers) {
            long weight = RendezvousHashing.weight(key, peer);
            if (weight > highest) {
                owner = peer;
                highest = weight;
            }
        }
        return owner;
    }
}
