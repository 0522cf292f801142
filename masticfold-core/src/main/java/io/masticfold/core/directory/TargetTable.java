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
 * Holds the targets registered in the service directory. Registrations expire while the directory is unavailable, since
 * the targets cannot renew them. A target whose registration is missing right after such an outage is therefore kept
 * for a grace period, in which live targets register again, unless it was renewed since the outage. A directory that
 * was restored from a copy is treated in the same way, and what the copy says of targets that were draining or gone
 * before is ignored. Not safe for use by several threads.
 */
public final class TargetTable {

    /** Shortest outage in which registrations can expire; targets renew them more often than this. */
    public static final Duration MIN_EXPIRY_OUTAGE = Duration.ofMillis(1500);

    /** Time after an outage within which live targets register again. */
    static final Duration REREGISTRATION_GRACE = Duration.ofMillis(2500);

    /** Time for which removed targets are remembered; longer than the age of a copy from which a store is restored. */
    static final Duration REMOVAL_MEMORY = Duration.ofSeconds(60);

    private final TimeSource time;
    private final Map<String, Removal> removals = new HashMap<>();
    private final Map<String, TargetRecord> targets = new HashMap<>();
    private final Map<String, Long> graceEnds = new HashMap<>();
    private final Map<String, Long> leavingNanos = new HashMap<>();
    private final Map<String, Long> renewals = new HashMap<>();
    private Set<String> disabledZones = Set.of();
    private boolean unavailable;
    private long outageStartNanos;
    private long outageEndNanos;
    private boolean recovered;
    private long updates;
    private long updatesBeforeRecovery;

    /** Creates an empty table. */
    public TargetTable(TimeSource time) {
        this.time = time;
    }

    /**
     * Records that a call to the directory failed.
     *
     * @param silence time since the directory last answered if it did not answer the call; zero if it refused the call
     */
    public void directoryFailed(Duration silence) {
        if (!unavailable) {
            unavailable = true;
            outageStartNanos = time.nanoTime() - silence.toNanos();
        }
    }

    /** Records that a call to the directory succeeded. */
    public void directoryAnswered() {
        if (unavailable && time.nanoTime() - outageStartNanos > MIN_EXPIRY_OUTAGE.toNanos()) {
            recovered();
        }
        unavailable = false;
    }

    private void recovered() {
        recovered = true;
        outageEndNanos = time.nanoTime();
        updatesBeforeRecovery = updates;
    }

    /** Records that the changes that follow were made since those of the update before. */
    public void beginUpdate() {
        updates++;
    }

    /** Replaces all targets by a complete list. */
    public void replaceAll(Collection<TargetRecord> records) {
        Set<String> listed = new HashSet<>();
        records.forEach(record -> {
            listed.add(record.id());
            keep(record);
        });
        Set.copyOf(targets.keySet()).stream().filter(id -> !listed.contains(id)).forEach(this::remove);
    }

    /**
     * Replaces all targets by the list of a directory that was restored from a copy. Targets that the copy lacks are
     * kept for the grace period; targets that were removed before stay removed until they register again.
     */
    public void replaceAllRestored(Collection<TargetRecord> records) {
        recovered();
        replaceAll(records.stream().filter(record -> !removedBefore(record)).toList());
    }

    private boolean removedBefore(TargetRecord record) {
        Removal removal = removals.get(record.id());
        return removal != null && removal.target().sameIncarnation(record);
    }

    /** Adds a target, or records that it has renewed its registration. */
    public void put(TargetRecord record) {
        renewals.put(record.id(), updates);
        keep(record);
    }

    /** A target that is draining keeps draining: only its next incarnation is usable. */
    private void keep(TargetRecord record) {
        TargetRecord known = targets.get(record.id());
        boolean draining = (known != null && known.draining() && known.sameIncarnation(record))
                || leavingNanos.containsKey(record.incarnation());
        targets.put(record.id(), draining ? record.asDraining() : record);
        graceEnds.remove(record.id());
        removals.remove(record.id());
    }

    /**
     * Records that a target itself says that it leaves. An entry that says otherwise does not take that back; only the
     * next incarnation is usable.
     *
     * @return whether this was not known, from the target or the directory
     */
    public boolean markLeaving(TargetRecord target) {
        leavingNanos.put(target.incarnation(), time.nanoTime());
        TargetRecord known = targets.get(target.id());
        if (known == null || known.draining() || !known.sameIncarnation(target)) {
            return false;
        }
        targets.put(known.id(), known.asDraining());
        return true;
    }

    /**
     * Removes a target, or schedules its removal if an outage has just ended. Removals during an outage come from peers
     * that the directory already answers.
     */
    public void remove(String id) {
        if (unavailable && targets.containsKey(id)) {
            graceEnds.putIfAbsent(id, time.nanoTime() + REREGISTRATION_GRACE.toNanos());
        } else if (inGracePeriod() && targets.containsKey(id) && !renewedSinceOutage(id)) {
            graceEnds.putIfAbsent(id, outageEndNanos + REREGISTRATION_GRACE.toNanos());
        } else {
            removeNow(id);
            graceEnds.remove(id);
        }
    }

    /** The first update after an outage may contain what was written before it. */
    private boolean renewedSinceOutage(String id) {
        return renewals.getOrDefault(id, 0L) > updatesBeforeRecovery + 1;
    }

    private void removeNow(String id) {
        renewals.remove(id);
        TargetRecord removed = targets.remove(id);
        if (removed != null) {
            removals.put(id, new Removal(removed, time.nanoTime()));
            leavingNanos.replace(removed.incarnation(), time.nanoTime());
        }
    }

    /** Sets the availability zones that operators have taken out of service. */
    public void setDisabledZones(Set<String> zones) {
        disabledZones = Set.copyOf(zones);
    }

    /** Removes targets whose grace period has ended; returns whether any was removed. */
    public boolean expire() {
        long oldest = time.nanoTime() - REMOVAL_MEMORY.toNanos();
        removals.values().removeIf(removal -> removal.nanos() - oldest < 0);
        leavingNanos.entrySet().removeIf(entry -> entry.getValue() - oldest < 0 && !listed(entry.getKey()));
        boolean removed = false;
        for (Iterator<Map.Entry<String, Long>> entries = graceEnds.entrySet().iterator(); entries.hasNext(); ) {
            Map.Entry<String, Long> entry = entries.next();
            if (time.nanoTime() - entry.getValue() >= 0) {
                entries.remove();
                removeNow(entry.getKey());
                removed = true;
            }
        }
        return removed;
    }

    private boolean listed(String incarnation) {
        TargetRecord target = targets.get(incarnation.substring(0, incarnation.lastIndexOf('@')));
        return target != null && target.incarnation().equals(incarnation);
    }

    /** Returns an immutable snapshot of the current targets. */
    public TargetDirectory snapshot() {
        return new TargetDirectory(targets.values(), disabledZones);
    }

    private boolean inGracePeriod() {
        return recovered && time.nanoTime() - outageEndNanos < REREGISTRATION_GRACE.toNanos();
    }

    /** Holds a removed target and the time of its removal. */
    private record Removal(TargetRecord target, long nanos) {}
}
