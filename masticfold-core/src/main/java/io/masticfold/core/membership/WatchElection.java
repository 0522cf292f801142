package io.masticfold.core.membership;

import io.masticfold.core.routing.RendezvousHashing;
import java.util.OptionalLong;
import java.util.random.RandomGenerator;

/**
 * Decides whether an entry watches the object API. A waiting watch counts as a call there, so only a few entries of a
 * region watch, each under a lease; the others learn of changes from agents. An entry whose configuration has not been
 * confirmed for a while contends at once; the others look at the slots now and then, so that vacant ones are filled.
 *
 * <p>Not safe for use by several threads; asked about once a second.
 */
public final class WatchElection {

    private final WatchElectionSettings settings;
    private final RandomGenerator random;
    private final int firstSlot;
    private WatchRole role = WatchRole.CONTENDING;
    private int tries;
    private long contendUntilNanos;
    private long nextLookNanos;
    private long staleNanos;
    private long confirmedNanos;
    private boolean everConfirmed;
    private boolean stale = true;
    private boolean substitute = true;

    /**
     * Creates the election of one entry, which contends first.
     *
     * @param settings the settings
     * @param entry name of the entry; spreads the entries over the slots
     * @param random spreads contending and looking in time
     * @param nowNanos current time, in nanoseconds
     */
    public WatchElection(WatchElectionSettings settings, String entry, RandomGenerator random, long nowNanos) {
        this.settings = settings;
        this.random = random;
        this.confirmedNanos = nowNanos;
        this.firstSlot = (int) Long.remainderUnsigned(RendezvousHashing.key(entry), settings.slots());
        contend(nowNanos);
    }

    /** Returns the slot to contend for, from 0. */
    public int slot() {
        return (firstSlot + tries) % settings.slots();
    }

    /** Returns the current role. */
    public WatchRole role() {
        return role;
    }

    /**
     * Returns whether the entry should ask the object API for changes: as a watcher, or as a substitute while it
     * contends because nobody confirmed its configuration. A lapsed lease is free only after its whole term, which is
     * longer than a change may take.
     */
    public boolean watches() {
        return role == WatchRole.WATCHING || (role == WatchRole.CONTENDING && substitute);
    }

    /**
     * Decides the role.
     *
     * @param leaseHeld whether the lease of {@link #slot()} is held now
     * @param ageNanos time since the configuration in force was last confirmed, in nanoseconds; empty if never
     * @param nowNanos current time, in nanoseconds
     * @return the role from now on
     */
    public WatchRole decide(boolean leaseHeld, OptionalLong ageNanos, long nowNanos) {
        observe(ageNanos, nowNanos);
        if (leaseHeld) {
            role = WatchRole.WATCHING;
        } else if (role == WatchRole.WATCHING) {
            contend(nowNanos);
        } else if (role == WatchRole.CONTENDING) {
            continueContending(nowNanos);
        } else if (stale || nowNanos - nextLookNanos >= 0) {
            contend(nowNanos);
        }
        return role;
    }

    /** Between a change and the next heartbeat nothing is confirmed, so the last confirmation counts. */
    private void observe(OptionalLong ageNanos, long nowNanos) {
        if (ageNanos.isPresent()) {
            confirmedNanos = nowNanos - ageNanos.getAsLong();
            everConfirmed = true;
        }
        stale = !everConfirmed || nowNanos - confirmedNanos > staleNanos;
    }

    private void continueContending(long nowNanos) {
        if (nowNanos - contendUntilNanos < 0) {
            return;
        }
        tries++;
        if (stale) {
            contend(nowNanos);
        } else {
            standBy(nowNanos);
        }
    }

    private void contend(long nowNanos) {
        role = WatchRole.CONTENDING;
        substitute = stale;
        contendUntilNanos = nowNanos + settings.contendFor().toNanos();
        staleNanos = settings.staleAfter().toNanos()
                + random.nextLong(settings.spread().toNanos() + 1);
    }

    private void standBy(long nowNanos) {
        role = WatchRole.STANDBY;
        long mean = settings.lookEvery().toNanos();
        nextLookNanos = nowNanos + mean / 2 + random.nextLong(mean);
    }
}
