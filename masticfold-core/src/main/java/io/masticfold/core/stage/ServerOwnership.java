package io.masticfold.core.stage;

import io.masticfold.core.routing.RendezvousHashing;
import java.util.Collection;

/** Selects the gateway that owns a partition of a stage pool, by rendezvous hashing over the reachable gateways. */
public final class ServerOwnership {

    private ServerOwnership() {}

    /**
     * Returns the name of the gateway that owns a partition.
     *
     * @param partition key of the partition
     * @param own name of this gateway
     * @param peers names of the reachable peers
     */
    public static String ownerOf(String partition, String own, Collection<String> peers) {
        long key = RendezvousHashing.key(partition);
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
