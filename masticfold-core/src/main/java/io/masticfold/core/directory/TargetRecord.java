package io.masticfold.core.directory;

import java.net.InetSocketAddress;

/**
 * Holds what the service directory says of one incarnation of a target.
 *
 * @param id name of the incarnation, unique among live targets
 * @param pool name of the pool it belongs to
 * @param address numeric address
 * @param zone availability zone
 * @param leaving whether it drains and takes no new work
 * @param coldMillis time for which it stays cold, counted from the report, in milliseconds
 * @param slots requests that it runs at the same time
 * @param bornMillis wall-clock start of the incarnation, in milliseconds since 1970; 0 if unknown
 */
public record TargetRecord(
        String id,
        String pool,
        InetSocketAddress address,
        String zone,
        boolean leaving,
        long coldMillis,
        int slots,
        long bornMillis) {

    /** Checks the identity. */
    public TargetRecord {
        if (id.isEmpty()) {
            throw new IllegalArgumentException("id must not be empty");
        }
    }

    /** Returns whether another record describes the same process. */
    public boolean sameIncarnation(TargetRecord other) {
        return id.equals(other.id) && bornMillis == other.bornMillis && address.equals(other.address);
    }
}
