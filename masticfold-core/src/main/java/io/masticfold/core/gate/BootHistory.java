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

    private final Set<String> pastBoots = new LinkedHashSet<>();

    @Nullable
    private String currentBoot;

    private long lastMeasuredNanos;

    /** Position of a report relative to the reports received before it. */
    enum ReportOrder {
        /** Measured before the latest report of the same boot, or sent by an earlier boot. */
        OUTDATED(false, false),
        /** A newer report of the current boot, or the first report received. */
        SAME_BOOT(false, true),
        /** The first report of a new boot. */
        NEW_BOOT(true, true),
        /** A report of an unknown boot that was measured before the latest report; either boot may be the later one. */
        UNKNOWN_ORDER(true, false);

        private final boolean mayHaveRestarted;
        private final boolean isLatest;

        ReportOrder(boolean mayHaveRestarted, boolean isLatest) {
            this.mayHaveRestarted = mayHaveRestarted;
            this.isLatest = isLatest;
        }

        /** Returns whether the target may have restarted since the latest report before this one. */
        boolean mayHaveRestarted() {
            return mayHaveRestarted;
        }

        /** Returns whether the report is the latest one of the latest known boot. */
        boolean isLatest() {
            return isLatest;
        }
    }

    /**
     * Classifies a report, and records it if it is the latest one.
     *
     * @param bootId id of the boot that sent the report
     * @param measuredNanos time of measurement, in nanoseconds of the time source
     */
    ReportOrder observe(String bootId, long measuredNanos) {
        ReportOrder order = classify(bootId, measuredNanos);
        if (order.isLatest()) {
            if (currentBoot != null && order.mayHaveRestarted()) {
                addPastBoot(currentBoot);
            }
            currentBoot = bootId;
            lastMeasuredNanos = measuredNanos;
        }
        return order;
    }

    private ReportOrder classify(String bootId, long measuredNanos) {
        if (currentBoot == null) {
            return ReportOrder.SAME_BOOT;
        }
        boolean older = measuredNanos - lastMeasuredNanos < 0;
        if (currentBoot.equals(bootId)) {
            return older ? ReportOrder.OUTDATED : ReportOrder.SAME_BOOT;
        }
        if (pastBoots.contains(bootId)) {
            return ReportOrder.OUTDATED;
        }
        return older ? ReportOrder.UNKNOWN_ORDER : ReportOrder.NEW_BOOT;
    }

    private void addPastBoot(String bootId) {
        pastBoots.add(bootId);
        if (pastBoots.size() > MAX_PAST_BOOTS) {
            pastBoots.remove(pastBoots.iterator().next());
        }
    }
}
