package io.masticfold.platform.store;

import io.masticfold.core.time.TimeSource;

/**
 * A lease from the point of view of its holder.
 *
 * @param name name of the lease
 * @param fencingNumber object version at which the lease was acquired; every later holder has a greater number
 * @param validUntilNanos time until which the holder may act, in nanoseconds of {@link TimeSource#nanoTime()}
 */
public record Lease(String name, long fencingNumber, long validUntilNanos) {

    /**
     * Returns whether the lease is still held. The holder must check this immediately before each protected operation,
     * because the term may have expired on the monotonic clock during a pause of the process.
     */
    public boolean held(TimeSource time) {
        return validUntilNanos - time.nanoTime() > 0;
    }

    /** Returns a copy of the lease that is valid until the given time. */
    Lease extendedTo(long newValidUntilNanos) {
        return new Lease(name, fencingNumber, newValidUntilNanos);
    }
}
