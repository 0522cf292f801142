package io.masticfold.core.config;

/**
 * Tells when the object API last confirmed the configuration in force: a digest, and the latest time at which that
 * digest was known to be the object API's own. It travels with heartbeats as an age, so no clocks are compared.
 *
 * @param digest digest of the confirmed configuration
 * @param atNanos time of the confirmation on the {@code TimeSource.nanoTime()} axis, in nanoseconds
 */
record Confirmation(long digest, long atNanos) {

    /** Returns the later confirmation of the same digest, or the new one if the digest differs. */
    Confirmation merge(Confirmation other) {
        return other.digest == digest && other.atNanos - atNanos < 0 ? this : other;
    }
}
