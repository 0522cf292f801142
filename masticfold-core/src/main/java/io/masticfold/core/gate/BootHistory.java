package io.masticfold.core.gate;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Puts the load reports of a target in the order in which they were measured, across restarts of the target. Reports
 * are delayed, so a report of an earlier boot can arrive after the first report of a later boot.
 *
 * <p>Not thread-safe.
 */
final class BootHistory {

    private static final int MAX_PAST_BOOTS = 16;

    private final Set<String> past = new LinkedHashSet<>();

    @Nullable
    private String current;

    private long lastTakenNanos;

    /** Position of a report relative to the reports received before it. */
    enum Verdict {
        /** Measured before the latest report of the same boot, or sent by an earlier boot. */
        OUTDATED(false, false),
        /** A newer report of the current boot, or the first report received. */
        SAME_BOOT(false, true),
        /** The first report of a new boot. */
        NEW_BOOT(true, true),
        /** A report of an unknown boot that was measured before the latest report; either boot may be the later one. */
        UNPLACED(true, false);

        private final boolean restarted;
        private final boolean current;

        Verdict(boolean restarted, boolean current) {
            this.restarted = restarted;
            this.current = current;
        }

        /** Returns whether the target may have restarted since the latest report. */
        boolean restarted() {
            return restarted;
        }

        /** Returns whether the report is the latest one of the latest known boot. */
        boolean current() {
            return current;
        }
    }

    /**
     * Classifies a report, and records it if it is the latest one.
     *
     * @param bootId id of the boot that sent the report
     * @param takenNanos time of measurement, in nanoseconds of the time source
     */
    Verdict take(String bootId, long takenNanos) {
        Verdict verdict = place(bootId, takenNanos);
        if (verdict.current()) {
            if (current != null && verdict.restarted()) {
                retire(current);
            }
            current = bootId;
            lastTakenNanos = takenNanos;
        }
        return verdict;
    }

    private Verdict place(String bootId, long takenNanos) {
        if (current == null) {
            return Verdict.SAME_BOOT;
        }
        boolean older = takenNanos - lastTakenNanos < 0;
        if (current.equals(bootId)) {
            return older ? Verdict.OUTDATED : Verdict.SAME_BOOT;
        }
        if (past.contains(bootId)) {
            return Verdict.OUTDATED;
        }
        return older ? Verdict.UNPLACED : Verdict.NEW_BOOT;
    }

    private void retire(String bootId) {
        past.add(bootId);
        if (past.size() > MAX_PAST_BOOTS) {
            past.remove(past.iterator().next());
        }
    }
}
