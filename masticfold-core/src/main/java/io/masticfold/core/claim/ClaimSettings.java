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

    /**
     * Waits half a second for the store, which answers in milliseconds when it is well, and 300 ms for an agent, which
     * answers from memory.
     */
    public static final ClaimSettings DEFAULT =
            new ClaimSettings(Duration.ofMillis(500), Duration.ofMillis(300), 4, Duration.ofMillis(20), 4, 64 * 1024);

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
