package io.masticfold.core.attempt;

import java.time.Duration;

/**
 * Size limits of the {@link AttemptLedger}.
 *
 * @param capacity maximum number of recorded attempts
 * @param retention time for which an ended attempt stays recorded, unless it is evicted earlier for lack of capacity
 * @param keptBytes maximum total size of stored results, in bytes
 * @param keptBytesEach maximum size of one stored result, in bytes; larger results are not stored
 * @param entries maximum number of entry incarnations with a mark of their own
 */
public record LedgerSettings(int capacity, Duration retention, long keptBytes, int keptBytesEach, int entries) {

    /**
     * Number of attempt records, enough for 54 attempts per second over the retention time. 25,000 requests per second
     * with at most 6 stages each, spread over 11,000 targets, amount to 14 attempts per second at an average target.
     */
    private static final int DEFAULT_CAPACITY = 32_768;

    /**
     * Retention time of ended attempts: the longest window that a contract may set ({@code
     * Contract.MAX_WINDOW_MILLIS}), which is 75 times a usual deadline of 8 s.
     */
    private static final Duration DEFAULT_RETENTION = Duration.ofMinutes(10);

    /** Total size of stored results in bytes, a quarter of the 64 MB that the control software may use on a node. */
    private static final long DEFAULT_KEPT_BYTES = 16L * 1024 * 1024;

    /** Maximum size of one stored result in bytes: 64 results of this size fit into the total. */
    private static final int DEFAULT_KEPT_BYTES_EACH = 256 * 1024;

    /** Number of entry incarnations: four per node at the planned size of 1,900 nodes. */
    private static final int DEFAULT_ENTRIES = 8_192;

    /**
     * Default limits. A record takes 115 bytes and a mark 104 bytes (64-bit JVM, compressed pointers, shared
     * incarnations), so with 16 MiB of results the ledger stays well below the 64 MB that the control software may use
     * on a node.
     */
    public static final LedgerSettings DEFAULT = new LedgerSettings(
            DEFAULT_CAPACITY, DEFAULT_RETENTION, DEFAULT_KEPT_BYTES, DEFAULT_KEPT_BYTES_EACH, DEFAULT_ENTRIES);

    /** Validates the limits. */
    public LedgerSettings {
        if (capacity < 1 || keptBytes < 0 || keptBytesEach < 0 || entries < 1) {
            throw new IllegalArgumentException("ledger settings out of range: capacity=" + capacity + " keptBytes="
                    + keptBytes + " keptBytesEach=" + keptBytesEach + " entries=" + entries);
        }
        if (retention.isNegative()) {
            throw new IllegalArgumentException("retention must not be negative: " + retention);
        }
    }
}
