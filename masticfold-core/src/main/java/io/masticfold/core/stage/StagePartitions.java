package io.masticfold.core.stage;

import io.masticfold.core.routing.RendezvousHashing;

/**
 * Divides the servers of a stage pool into partitions. One gateway schedules all servers of a partition, so that a
 * piece is bound to a server only when that server is free. A pool is divided once it is too large for one gateway.
 * Servers are mapped to partitions by rendezvous hashing: a server that joins or leaves does not move the others unless
 * the number of partitions changes.
 */
public final class StagePartitions {

    /** Largest average number of servers in a partition. */
    static final int MAX_SERVERS = 4;

    private StagePartitions() {}

    /** Returns the number of partitions of a pool with a number of servers. */
    public static int count(int servers) {
        return Math.max(1, (servers + MAX_SERVERS - 1) / MAX_SERVERS);
    }

    /**
     * Returns the partition of a server.
     *
     * @param server id of the server
     * @param count number of partitions of its pool
     */
    public static int partitionOf(String server, int count) {
        long key = RendezvousHashing.key(server);
        int partition = 0;
        long highest = Long.MIN_VALUE;
        for (int candidate = 0; candidate < count; candidate++) {
            long weight = RendezvousHashing.weight(key, Integer.toString(candidate));
            if (weight > highest) {
                partition = candidate;
                highest = weight;
            }
        }
        return partition;
    }

    /** Returns the key by which the owner of a partition is chosen. */
    public static String key(String pool, int partition) {
        return pool + "/" + partition;
    }
}
