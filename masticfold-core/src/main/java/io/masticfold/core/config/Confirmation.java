package io.masticfold.core.config;

/**
 * Records the latest time at which the object API was known to have the configuration with a digest. Heartbeats carry
 * it as an age, so that clocks of different machines are not compared.
 *
 * @param digest digest of the confirmed configuration
 * @param atNanos time of the confirmation as given by {@code TimeSource.nanoTime()}, in nanoseconds
 */
record Confirmation(long digest, long atNanos) {

    /** Returns the later of the two if they confirm the same digest, the other one if the digests differ. */
    Confirmation merge(Confirmation other) {
        return other.digest == digest && other.atNanos - atNanos < 0 ? this : other;
    }
}
