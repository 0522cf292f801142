package io.masticfold.platform.store;

import io.masticfold.core.time.TimeSource;

/**
 * Holds a lease as its holder sees it.
 *
 * @param name name of the lease
 * @param fencingNumber version that acquired the lease; every later holder has a greater one
 * @param validUntilNanos end of the holder's claim on the {@link TimeSource#nanoTime()} axis, in nanoseconds
 */
public record Lease(String name, long fencingNumber, long validUntilNanos) {

    /**
     * Returns whether the lease is still held. A holder must ask directly before each act: after a pause of the process
     * the monotonic clock shows that the term has passed, whatever the holder believed before.
     */
    public boolean held(TimeSource time) {
        return validUntilNanos - time.nanoTime() > 0;
    }

    /** Returns the lease with a later end. */
    Lease extendedTo(long newValidUntilNanos) {
        return new Lease(name, fencingNumber, newValidUntilNanos);
    }
}
