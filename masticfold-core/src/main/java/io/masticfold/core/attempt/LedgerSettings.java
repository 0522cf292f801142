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
     * The bounds in production. A record was measured at 115 bytes and a mark at 104 (64-bit JVM, compressed pointers,
     * shared incarnations), so with 16 MiB of results the ledger stays well under the 64 MB a node may spend on
     * control.
     */
    public static final LedgerSettings DEFAULT =
            new LedgerSettings(32_768, Duration.ofMinutes(10), 16L * 1024 * 1024, 256 * 1024, 8_192);

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
