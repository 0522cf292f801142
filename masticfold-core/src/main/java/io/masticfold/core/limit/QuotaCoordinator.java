package io.masticfold.core.limit;

import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.time.TimeSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Divides the rates of the workspaces that this agent coordinates among the entries that report demand. All state is
 * soft: the report of an entry expires after two seconds, and a new coordinator receives all reports within one
 * heartbeat. Safe for use by several threads.
 */
public final class QuotaCoordinator {

    private static final long REPORT_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final int MAX_WORKSPACES = 10_000;

    private final TimeSource time;
    private final Map<String, Map<Incarnation, Report>> reports = new ConcurrentHashMap<>();

    /** Creates a coordinator without reports. */
    public QuotaCoordinator(TimeSource time) {
        this.time = time;
    }

    /**
     * Records the demands of an entry and returns its shares.
     *
     * @param entry incarnation of the entry
     * @param demands demand per workspace
     * @return the share of the entry for each reported workspace
     */
    public List<WorkspaceShare> exchange(Incarnation entry, List<WorkspaceDemand> demands) {
        long now = time.nanoTime();
        return demands.stream()
                .map(demand -> new WorkspaceShare(demand.workspace(), share(entry, demand, now)))
                .toList();
    }

    /** Removes reports that are older than two seconds. */
    public void expire() {
        long now = time.nanoTime();
        reports.values().forEach(byEntry -> byEntry.values().removeIf(report -> report.expired(now)));
        reports.values().removeIf(Map::isEmpty);
    }

    private double share(Incarnation entry, WorkspaceDemand demand, long now) {
        if (reports.size() >= MAX_WORKSPACES && !reports.containsKey(demand.workspace())) {
            return demand.limitPerSecond();
        }
        Map<Incarnation, Report> byEntry =
                reports.computeIfAbsent(demand.workspace(), _name -> new ConcurrentHashMap<>());
        byEntry.put(entry, new Report(demand.perSecond(), now));
        Map<Incarnation, Double> current = byEntry.entrySet().stream()
                .filter(other -> !other.getValue().expired(now))
                .collect(Collectors.toMap(
                        Map.Entry::getKey, other -> other.getValue().perSecond()));
        return ShareAllocator.divide(demand.limitPerSecond(), current).getOrDefault(entry, demand.limitPerSecond());
    }

    private record Report(double perSecond, long atNanos) {
        boolean expired(long now) {
            return now - atNanos > REPORT_LIFETIME_NANOS;
        }
    }
}
