package io.masticfold.core.directory;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;

/**
 * Keeps the entries of the service directory. Entries lapse while the directory cannot be written; an entry that is
 * missing right after such an outage is kept for a short time, within which a live target has written it again. Used
 * by one thread.
 */
public final class TargetTable {

    /** Shortest outage that can make entries lapse; targets write more often than this. */
    static final Duration SHORTEST_LAPSE = Duration.ofMillis(1500);

    /** Time after the end of an outage within which live targets write their entries again. */
    static final Duration RETURN_GRACE = Duration.ofMillis(2500);

    private final TimeSource time;
    private final Map<String, TargetRecord> targets = new HashMap<>();
    private final Map<String, Long> missing = new HashMap<>();
    private Set<String> zonesOut = Set.of();
    private boolean failing;
    private long failingSinceNanos;
    private long returnedNanos;
    private boolean returned;

    /** Creates an empty table. */
    public TargetTable(TimeSource time) {
        this.time = time;
    }

    /** Notes that a call to the directory failed. */
    public void directoryFailed() {
        if (!failing) {
            failing = true;
            failingSinceNanos = time.nanoTime();
        }
    }

    /** Notes that a call to the directory succeeded. */
    public void directoryAnswered() {
        if (failing && time.nanoTime() - failingSinceNanos > SHORTEST_LAPSE.toNanos()) {
            returned = true;
            returnedNanos = time.nanoTime();
        }
        failing = false;
    }

    /** Replaces all entries by a complete list. */
    public void replaceAll(Collection<TargetRecord> records) {
        Set<String> listed = new HashSet<>();
        records.forEach(record -> {
            listed.add(record.id());
            put(record);
        });
        Set.copyOf(targets.keySet()).stream().filter(id -> !listed.contains(id)).forEach(this::remove);
    }

    /** Adds or changes an entry. */
    public void put(TargetRecord record) {
        targets.put(record.id(), record);
        missing.remove(record.id());
    }

    /** Removes an entry, at once or after the grace of an outage that has just ended. */
    public void remove(String id) {
        if (inReturnGrace() && targets.containsKey(id)) {
            missing.putIfAbsent(id, returnedNanos + RETURN_GRACE.toNanos());
        } else {
            targets.remove(id);
            missing.remove(id);
        }
    }

    /** Replaces the availability zones that operators have taken out. */
    public void zonesOut(Set<String> zones) {
        zonesOut = Set.copyOf(zones);
    }

    /** Drops entries whose grace has ended; returns whether any was dropped. */
    public boolean expire() {
        boolean dropped = false;
        for (Iterator<Map.Entry<String, Long>> entries = missing.entrySet().iterator(); entries.hasNext(); ) {
            Map.Entry<String, Long> entry = entries.next();
            if (time.nanoTime() - entry.getValue() >= 0) {
                entries.remove();
                targets.remove(entry.getKey());
                dropped = true;
            }
        }
        return dropped;
    }

    /** Returns the present entries as an immutable directory. */
    public TargetDirectory snapshot() {
        return new TargetDirectory(targets.values(), zonesOut);
    }

    private boolean inReturnGrace() {
        return returned && time.nanoTime() - returnedNanos < RETURN_GRACE.toNanos();
    }
}
