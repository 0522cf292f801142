package io.masticfold.core.membership;

import io.masticfold.core.routing.RendezvousHashing;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Elects the entries of a region that watch the object API. An open watch counts as a call there, so only a few entries
 * watch, each holding the lease of one slot; the others receive changes from agents. An entry whose configuration has
 * not been confirmed for some time contends for a slot immediately; the others check the slots from time to time, so
 * that vacant slots are filled.
 *
 * <p>This class is not thread-safe. It is called about once a second.
 */
public final class WatchElection {

    private final WatchElectionSettings settings;
    private final RandomGenerator random;
    private final int firstSlot;
    private WatchRole role = WatchRole.CONTENDING;
    private int slotsTried;
    private long contentionEndNanos;
    private long nextVacancyCheckNanos;
    private long staleAfterNanos;
    private long confirmedNanos;
    private boolean everConfirmed;
    private boolean stale = true;
    private boolean watchesWithoutLease = true;

    /**
     * Creates the election of one entry, which starts by contending.
     *
     * @param settings the settings
     * @param entry name of the entry; distributes the entries over the slots
     * @param random distributes contention and vacancy checks over time
     * @param nowNanos current time, in nanoseconds
     */
    public WatchElection(WatchElectionSettings settings, String entry, RandomGenerator random, long nowNanos) {
        this.settings = settings;
        this.random = random;
        this.confirmedNanos = nowNanos;
        this.firstSlot = (int) Long.remainderUnsigned(RendezvousHashing.key(entry), settings.slots());
        contend(nowNanos);
    }

    /** Returns the slot to contend for, starting at 0. */
    public int slot() {
        return (firstSlot + slotsTried) % settings.slots();
    }

    /** Returns the current role. */
    public WatchRole role() {
        return role;
    }

    /**
     * Returns whether the entry should watch the object API: either it holds a lease, or it contends because its
     * configuration is not being confirmed. In the second case it does not wait for a lease, because the lease of a
     * failed holder becomes free only after its full term, which exceeds the time within which a change has to be in
     * force.
     */
    public boolean shouldWatch() {
        return role == WatchRole.WATCHING || (role == WatchRole.CONTENDING && watchesWithoutLease);
    }

    /**
     * Determines the role of the entry.
     *
     * @param leaseHeld whether the lease of {@link #slot()} is held now
     * @param ageNanos time since the current configuration was last confirmed, in nanoseconds; empty if never
     * @param nowNanos current time, in nanoseconds
     * @return the new role
     */
    public WatchRole decide(boolean leaseHeld, OptionalLong ageNanos, long nowNanos) {
        updateStaleness(ageNanos, nowNanos);
        if (leaseHeld) {
            role = WatchRole.WATCHING;
        } else if (role == WatchRole.WATCHING) {
            contend(nowNanos);
        } else if (role == WatchRole.CONTENDING) {
            continueContending(nowNanos);
        } else if (stale || nowNanos - nextVacancyCheckNanos >= 0) {
            contend(nowNanos);
        }
        return role;
    }

    /** Uses the last confirmation, because between a change and the next heartbeat the configuration is unconfirmed. */
    private void updateStaleness(OptionalLong ageNanos, long nowNanos) {
        if (ageNanos.isPresent()) {
            confirmedNanos = nowNanos - ageNanos.getAsLong();
            everConfirmed = true;
        }
        stale = !everConfirmed || nowNanos - confirmedNanos > staleAfterNanos;
    }

    private void continueContending(long nowNanos) {
        if (nowNanos - contentionEndNanos < 0) {
            return;
        }
        slotsTried++;
        if (stale) {
            contend(nowNanos);
        } else {
            standBy(nowNanos);
        }
    }

    private void contend(long nowNanos) {
        role = WatchRole.CONTENDING;
        watchesWithoutLease = stale;
        contentionEndNanos = nowNanos + settings.contentionPeriod().toNanos();
        staleAfterNanos = settings.staleAfter().toNanos()
                + random.nextLong(settings.maxJitter().toNanos() + 1);
    }

    private void standBy(long nowNanos) {
        role = WatchRole.STANDBY;
        long mean = settings.vacancyCheckInterval().toNanos();
        nextVacancyCheckNanos = nowNanos + mean / 2 + random.nextLong(mean);
    }
}
