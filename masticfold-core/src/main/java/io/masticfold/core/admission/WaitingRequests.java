package io.masticfold.core.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Waiting requests of one pool in the order in which they are served: by priority, then by standing, then by latest
 * start. Used by one thread.
 *
 * @param <T> type of the handles
 */
final class WaitingRequests<T> {

    /** A workspace with more than this multiple of the mean of the others' waiting requests comes after them. */
    private static final int HEAVY_FACTOR = 2;

    private final List<Entry<T>> entries = new ArrayList<>();
    private int lightStarts;

    void add(AdmissionRequest<T> request, boolean early) {
        entries.add(new Entry<>(request, early));
    }

    boolean remove(T handle) {
        return entries.removeIf(entry -> entry.request().handle() == handle);
    }

    int size() {
        return entries.size();
    }

    /** Returns the requests in the order in which they are served. */
    List<AdmissionRequest<T>> ordered() {
        return sorted(standings()).stream().map(Entry::request).toList();
    }

    /**
     * Returns the request that is served next: the first in the order, or the first one of a heavy workspace if each
     * of the others in its priority has had a turn since the last one.
     */
    Optional<AdmissionRequest<T>> head() {
        Map<Entry<T>, Standing> standings = standings();
        List<Entry<T>> sorted = sorted(standings);
        if (sorted.isEmpty()) {
            return Optional.empty();
        }
        Entry<T> first = sorted.get(0);
        if (standings.get(first) != Standing.LIGHT) {
            return Optional.of(first.request());
        }
        List<Entry<T>> samePriority = sorted.stream()
                .filter(entry -> entry.request().priority() == first.request().priority())
                .toList();
        Set<String> lightWorkspaces = samePriority.stream()
                .filter(entry -> standings.get(entry) == Standing.LIGHT)
                .map(entry -> entry.request().workspace())
                .collect(Collectors.toSet());
        Optional<Entry<T>> heavy = samePriority.stream()
                .filter(entry -> standings.get(entry) == Standing.HEAVY)
                .findFirst();
        return Optional.of(heavy.filter(_entry -> lightStarts >= lightWorkspaces.size())
                .orElse(first)
                .request());
    }

    /** Removes a request that is sent, and counts the turn. */
    void started(AdmissionRequest<T> request) {
        Map<Entry<T>, Standing> standings = standings();
        boolean light = entries.stream()
                .anyMatch(entry ->
                        entry.request().handle() == request.handle() && standings.get(entry) == Standing.LIGHT);
        lightStarts = light ? lightStarts + 1 : 0;
        remove(request.handle());
    }

    private List<Entry<T>> sorted(Map<Entry<T>, Standing> standings) {
        return entries.stream()
                .sorted(Comparator.<Entry<T>>comparingInt(
                                entry -> entry.request().priority())
                        .thenComparing(standings::get)
                        .thenComparingLong(entry -> entry.request().latestStartNanos()))
                .toList();
    }

    private Map<Entry<T>, Standing> standings() {
        Map<Integer, Map<String, Integer>> counts = new HashMap<>();
        entries.forEach(entry -> counts.computeIfAbsent(entry.request().priority(), _key -> new HashMap<>())
                .merge(entry.request().workspace(), 1, Integer::sum));
        Map<Entry<T>, Standing> standings = new HashMap<>();
        for (Entry<T> entry : entries) {
            Map<String, Integer> samePriority = counts.get(entry.request().priority());
            standings.put(entry, entry.early() ? Standing.EARLY : standing(entry, samePriority));
        }
        return standings;
    }

    private static Standing standing(Entry<?> entry, Map<String, Integer> counts) {
        int own = counts.get(entry.request().workspace());
        int others = counts.values().stream().mapToInt(Integer::intValue).sum() - own;
        return others > 0 && own * (counts.size() - 1) > HEAVY_FACTOR * others ? Standing.HEAVY : Standing.LIGHT;
    }

    /** Standing of a request within its priority, in the order of service. */
    private enum Standing {
        /** Of a workspace with about as many waiting requests as the others. */
        LIGHT,
        /** Of a workspace with far more waiting requests than the others. */
        HEAVY,
        /** Came back earlier than it was told. */
        EARLY
    }

    /** A waiting request; compared by identity, since the handles need no equality. */
    private static final class Entry<T> {
        private final AdmissionRequest<T> request;
        private final boolean early;

        Entry(AdmissionRequest<T> request, boolean early) {
            this.request = request;
            this.early = early;
        }

        AdmissionRequest<T> request() {
            return request;
        }

        boolean early() {
            return early;
        }
    }
}
