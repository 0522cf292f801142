package io.masticfold.core.claim;

import java.time.Duration;

/**
 * Holds the settings of the claim protocol.
 *
 * @param operationTimeout timeout of one operation on the claim store
 * @param sealTimeout timeout of a request to an agent to seal an attempt
 * @param readBacks maximum number of reads that recover from lost replies, each of which may repeat the write
 * @param readBackDelay delay before a read is repeated because the store was unavailable
 * @param rounds maximum number of times the claim may name another attempt before it counts as contended
 * @param maxStoredResultBytes maximum size of a result that is stored in a claim, in bytes
 */
public record ClaimSettings(
        Duration operationTimeout,
        Duration sealTimeout,
        int readBacks,
        Duration readBackDelay,
        int rounds,
        int maxStoredResultBytes) {

    /** A healthy store replies within milliseconds. */
    private static final Duration OPERATION_TIMEOUT = Duration.ofMillis(500);

    /** An agent replies from memory. */
    private static final Duration SEAL_TIMEOUT = Duration.ofMillis(300);

    /** With the operation timeout, these reads take up to two seconds of an eight-second deadline. */
    private static final int READ_BACKS = 4;

    /** Five times the response time of a store that takes 4 ms. */
    private static final Duration READ_BACK_DELAY = Duration.ofMillis(20);

    /** Each round means that one more entry has acquired the claim in the meantime. */
    private static final int ROUNDS = 4;

    /** Maximum size of a stored result, in bytes; keeps claims small objects in the store. */
    private static final int MAX_STORED_RESULT_BYTES = 64 * 1024;

    /** The default settings. */
    public static final ClaimSettings DEFAULT = new ClaimSettings(
            OPERATION_TIMEOUT, SEAL_TIMEOUT, READ_BACKS, READ_BACK_DELAY, ROUNDS, MAX_STORED_RESULT_BYTES);

    /** Validates the settings. */
    public ClaimSettings {
        if (readBacks < 1 || rounds < 1) {
            throw new IllegalArgumentException(
                    "readBacks and rounds must be at least 1: readBacks=" + readBacks + " rounds=" + rounds);
        }
        if (maxStoredResultBytes < 0) {
            throw new IllegalArgumentException("maxStoredResultBytes must not be negative: " + maxStoredResultBytes);
        }
    }
}
