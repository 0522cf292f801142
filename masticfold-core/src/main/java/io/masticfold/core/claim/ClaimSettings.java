package io.masticfold.core.claim;

import java.time.Duration;

/**
 * Holds the bounds of the claim protocol.
 *
 * @param operationTimeout longest wait for one operation on the claim store
 * @param sealTimeout longest wait for an agent to settle an attempt
 * @param readBacks most reads and repeated writes that settle one lost answer
 * @param readBackDelay wait before a read is repeated because the store was unavailable
 * @param rounds most times the settlement starts over because another entry moved the claim
 * @param keptResultBytes largest result that is kept in a claim, in bytes
 */
public record ClaimSettings(
        Duration operationTimeout,
        Duration sealTimeout,
        int readBacks,
        Duration readBackDelay,
        int rounds,
        int keptResultBytes) {

    /** Wait for the store, which answers in milliseconds when it is well. */
    private static final Duration OPERATION_TIMEOUT = Duration.ofMillis(500);

    /** Wait for an agent, which answers from memory. */
    private static final Duration SEAL_TIMEOUT = Duration.ofMillis(300);

    /** Reads and repeated writes: with the operation's wait, two seconds of an eight-second deadline. */
    private static final int READ_BACKS = 4;

    /** Pause before a read is repeated: five answers of a store that takes 4 ms. */
    private static final Duration READ_BACK_DELAY = Duration.ofMillis(20);

    /** Fresh starts; chosen, not measured: each means that one more entry has moved the claim. */
    private static final int ROUNDS = 4;

    /** Largest kept result, in bytes; chosen, not measured, so that a claim stays a small object of the store. */
    private static final int KEPT_RESULT_BYTES = 64 * 1024;

    /**
     * Waits half a second for the store, which answers in milliseconds when it is well, and 300 ms for an agent, which
     * answers from memory.
     */
    public static final ClaimSettings DEFAULT =
            new ClaimSettings(OPERATION_TIMEOUT, SEAL_TIMEOUT, READ_BACKS, READ_BACK_DELAY, ROUNDS, KEPT_RESULT_BYTES);

    /** Checks the ranges. */
    public ClaimSettings {
        if (readBacks < 1 || rounds < 1) {
            throw new IllegalArgumentException(
                    "readBacks and rounds must be at least 1: readBacks=" + readBacks + " rounds=" + rounds);
        }
        if (keptResultBytes < 0) {
            throw new IllegalArgumentException("keptResultBytes must not be negative: " + keptResultBytes);
        }
    }
}
