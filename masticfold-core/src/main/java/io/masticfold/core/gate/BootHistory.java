package io.masticfold.core.gate;

import java.util.LinkedHashSet;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Orders the load reports of a target by the time their figures were taken, over restarts of the target. Reports lag,
 * so one of an earlier boot can arrive after the first one of a later boot.
 *
 * <p>Not safe for use by several threads.
 */
final class BootHistory {

    private static final int MAX_PAST_BOOTS = 16;

    private final Set<String> past = new LinkedHashSet<>();

    @Nullable
    private String current;

    private long lastTakenNanos;

    /** Lists what a report means for the order of boots. */
    enum Verdict {
        /** Older than what is already known. */
        OUTDATED(false, false),
        /** The next report of the same boot, or the first report at all. */
        SAME_BOOT(false, true),
        /** The first report after a restart of the target. */
        NEW_BOOT(true, true),
        /** A boot never seen, with figures older than those of the known boot; the order of the two is open. */
        UNPLACED(true, false);

        private final boolean restarted;
        private final boolean current;

        Verdict(boolean restarted, boolean current) {
            this.restarted = restarted;
            this.current = current;
        }

        /** Returns whether the target may have restarted since the last report. */
        boolean restarted() {
            return restarted;
        }

        /** Returns whether the report describes the latest boot. */
        boolean current() {
            return current;
        }
    }

    /**
     * Takes a report.
     *
     * @param bootId boot the report is of
     * @param takenNanos when its figures were taken, on the axis of the time source
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
