package io.masticfold.core.attempt;

import java.time.Duration;

/**
 * Bounds the ledger of an agent.
 *
 * @param capacity most attempts on record
 * @param retention time an ended attempt stays on record while there is room
 * @param keptBytes most bytes of kept results in total
 * @param keptBytesEach most bytes of one kept result
 * @param entries most entry incarnations with a mark of their own
 */
public record LedgerSettings(int capacity, Duration retention, long keptBytes, int keptBytesEach, int entries) {

    /**
     * Records: 54 a second for the retention. 25,000 requests a second of at most 6 stages over 11,000 targets make 14
     * a second at a mean target.
     */
    private static final int RECORDS = 32_768;

    /** Time for which a settled attempt is remembered: 75 times the longest deadline of 8 s. */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    /** Bytes of results in total, a quarter of the 64 MB that a node may spend on control. */
    private static final long KEPT_BYTES = 16L * 1024 * 1024;

    /** Bytes of one result: 64 of the largest fit into the total. */
    private static final int KEPT_BYTES_EACH = 256 * 1024;

    /** Entry incarnations: four of each of the 1,900 nodes of the planned size. */
    private static final int ENTRIES = 8_192;

    /**
     * The bounds in production. A record was measured at 115 bytes and a mark at 104 (64-bit JVM, compressed pointers,
     * shared incarnations), so with 16 MiB of results the ledger stays well under the 64 MB a node may spend on
     * control.
     */
    public static final LedgerSettings DEFAULT =
            new LedgerSettings(RECORDS, RETENTION, KEPT_BYTES, KEPT_BYTES_EACH, ENTRIES);

    /** Checks the ranges. */
    public LedgerSettings {
        if (capacity < 1 || keptBytes < 0 || keptBytesEach < 0 || entries < 1) {
            throw new IllegalArgumentException("ledger bounds out of range: capacity=" + capacity + " keptBytes="
                    + keptBytes + " keptBytesEach=" + keptBytesEach + " entries=" + entries);
        }
        if (retention.isNegative()) {
            throw new IllegalArgumentException("retention must not be negative: " + retention);
        }
    }
}
