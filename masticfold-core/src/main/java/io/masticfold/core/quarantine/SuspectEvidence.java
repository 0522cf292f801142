package io.masticfold.core.quarantine;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Holds the targets that ended while they began an answer with one suspect. */
final class SuspectEvidence {

    private final Map<String, End> endsByTarget = new HashMap<>();

    /** Adds the end of a target, unless it is known or the evidence holds as many as are ever needed. */
    void add(TargetEnd end) {
        if (endsByTarget.size() < SuspectTable.MAX_ENDS_PER_SUSPECT) {
            endsByTarget.putIfAbsent(
                    end.target(),
                    new End(end.target(), end.nanos(), end.request().orElse(null)));
        }
    }

    void remove(String target) {
        endsByTarget.remove(target);
    }

    void removeBefore(long nanos) {
        endsByTarget.values().removeIf(end -> end.nanos() - nanos < 0);
    }

    boolean empty() {
        return endsByTarget.isEmpty();
    }

    Set<String> targets() {
        return Set.copyOf(endsByTarget.keySet());
    }

    List<End> ends() {
        return List.copyOf(endsByTarget.values());
    }

    /** Returns the number of ends that count against a suspect of the given kind. */
    int count(SuspectKind kind) {
        Map<String, Integer> countsByRequest = new HashMap<>();
        int count = 0;
        long last = 0;
        List<End> ends = endsByTarget.values().stream()
                .sorted(Comparator.comparingLong(End::nanos))
                .toList();
        for (End end : ends) {
            boolean independent =
                    count == 0 || end.nanos() - last >= kind.commonCauseWindow().toNanos();
            if (independent
                    && countsByRequest.merge(end.requestOrTarget(), 1, Integer::sum) <= kind.maxEndsOfOneRequest()) {
                count++;
                last = end.nanos();
            }
        }
        return count;
    }

    /**
     * Holds an end of a target.
     *
     * @param request name of the request that the target was beginning; null if unknown
     */
    record End(String target, long nanos, @Nullable String request) {

        /** Takes an end with an unknown request for that of a request of its own. */
        private String requestOrTarget() {
            return request == null ? target : request;
        }
    }
}
