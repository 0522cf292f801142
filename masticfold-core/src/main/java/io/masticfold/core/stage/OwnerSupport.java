package io.masticfold.core.stage;

import io.masticfold.core.routing.RendezvousSupport;
import java.util.Collection;

/** Computes which gateway owns a stage server, by rendezvous hashing over the gateways that can be reached. */
public final class OwnerSupport {

    private OwnerSupport() {}

    /**
     * Returns the owner of a server.
     *
     * @param server id of the server
     * @param own name of this gateway
     * @param peers names of the peers that can be reached
     */
    public static String owner(String server, String own, Collection<String> peers) {
        long key = RendezvousSupport.key(server);
        String owner = own;
        long highest = RendezvousSupport.weight(key, own);
        for (String peer : peers) {
            long weight = RendezvousSupport.weight(key, peer);
            if (weight > highest) {
                owner = peer;
                highest = weight;
            }
        }
        return owner;
    }
}
