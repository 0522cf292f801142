package io.masticfold.core.quarantine;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Holds the targets that ended while they began an answer on one prompt part. */
final class PartEvidence {

    private final Map<String, Long> nanosByTarget = new HashMap<>();

    /** Adds a target, unless it is known or the evidence holds as many as are ever needed. */
    void add(String target, long nanos) {
        if (nanosByTarget.size() < PoisonDetector.MAX_ENDS_PER_PART) {
            nanosByTarget.putIfAbsent(target, nanos);
        }
    }

    void remove(String target) {
        nanosByTarget.remove(target);
    }

    void removeBefore(long nanos) {
        nanosByTarget.values().removeIf(added -> added - nanos < 0);
    }

    boolean empty() {
        return nanosByTarget.isEmpty();
    }

    Set<String> targets() {
        return Set.copyOf(nanosByTarget.keySet());
    }

    Map<String, Long> nanosByTarget() {
        return Map.copyOf(nanosByTarget);
    }

    /** Returns the number of ends; those that follow another within the given time count as one with it. */
    int count(Duration commonCauseWindow) {
        int count = 0;
        long last = 0;
        for (long nanos : nanosByTarget.values().stream().sorted().toList()) {
            if (count == 0 || nanos - last >= commonCauseWindow.toNanos()) {
                count++;
                last = nanos;
            }
        }
        return count;
    }
}
