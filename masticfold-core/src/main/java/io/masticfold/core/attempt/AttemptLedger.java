package io.masticfold.core.attempt;

import io.masticfold.core.time.TimeSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/**
 * Records the state of the attempts at one agent, so that no attempt runs twice and no attempt that was reported as not
 * run is executed later.
 *
 * <p>The ledger is bounded in the number of attempts, the total size of stored results and the retention time. An
 * attempt whose record has been evicted is never mistaken for a new one, because {@link EntryMarks} covers evicted
 * records. Records of idempotent attempts are evicted first, because only non-idempotent attempts are ever sealed; for
 * the same reason only results of non-idempotent attempts are stored.
 *
 * <p>Not thread-safe; the gate calls it under its lock.
 */
public final class AttemptLedger {

    private final LedgerSettings settings;
    private final TimeSource time;
    private final EntryMarks marks;
    private final Map<AttemptId, LedgerEntry> entries = new HashMap<>();
    private final Deque<LedgerEntry> endedIdempotent = new ArrayDeque<>();
    private final Deque<LedgerEntry> endedOther = new ArrayDeque<>();
    private final Deque<LedgerEntry> kept = new ArrayDeque<>();
    private int active;
    private long keptBytes;

    /** Creates an empty ledger. */
    public AttemptLedger(LedgerSettings settings, TimeSource time) {
        this.settings = settings;
        this.time = time;
        this.marks = new EntryMarks(settings.entries());
    }

    /** Returns the state of an attempt. */
    public AttemptState state(AttemptId attempt) {
        LedgerEntry entry = entries.get(attempt);
        if (entry != null) {
            return entry.state();
        }
        return marks.covers(attempt) ? AttemptState.FORGOTTEN : AttemptState.NEW;
    }

    /** Returns whether the attempts in progress have reached the capacity of the ledger. */
    public boolean full() {
        return active >= settings.capacity();
    }

    /** Returns the number of attempts on record. */
    public int size() {
        return entries.size();
    }

    /** Returns the total size of the stored results, in bytes. */
    public long keptBytes() {
        return keptBytes;
    }

    /**
     * Accepts a new attempt.
     *
     * @throws IllegalStateException if the attempt is not new
     */
    public void accept(AttemptId attempt, boolean idempotent) {
        require(attempt, AttemptState.NEW);
        insert(new LedgerEntry(attempt, idempotent, AttemptState.QUEUED));
        active++;
    }

    /**
     * Records that an accepted attempt is about to be sent to the target.
     *
     * @throws IllegalStateException if the attempt is not queued
     */
    public void begin(AttemptId attempt) {
        require(attempt, AttemptState.QUEUED).begin();
    }

    /**
     * Records the completion of a running attempt, and stores the result if the attempt is non-idempotent and the
     * result is within the size limit.
     *
     * @throws IllegalStateException if the attempt is not running
     */
    public void complete(AttemptId attempt, Payload result) {
        LedgerEntry entry = require(attempt, AttemptState.RUNNING);
        if (!entry.idempotent() && result.size() <= settings.keptBytesEach()) {
            keep(entry, result);
        }
        end(entry, AttemptState.DONE);
    }

    /**
     * Records that a running attempt failed.
     *
     * @throws IllegalStateException if the attempt is not running
     */
    public void fail(AttemptId attempt) {
        end(require(attempt, AttemptState.RUNNING), AttemptState.FAILED);
    }

    /**
     * Records that an attempt did not run. The attempt may be new, queued, or running if the target answered that it
     * did not run it.
     *
     * @param attempt the attempt
     * @param idempotent whether the stage may be repeated
     * @throws IllegalStateException if the attempt has ended or its record was evicted
     */
    public void refuse(AttemptId attempt, boolean idempotent) {
        close(attempt, idempotent, AttemptState.REFUSED);
    }

    /**
     * Records a new attempt that was addressed to another incarnation of the agent and does not run here.
     *
     * @throws IllegalStateException if the attempt is not new
     */
    public void foreign(AttemptId attempt, boolean idempotent) {
        require(attempt, AttemptState.NEW);
        close(attempt, idempotent, AttemptState.FOREIGN);
    }

    /** Returns the outcome of an attempt; an attempt that is new or queued is prevented from running. */
    public SealOutcome seal(AttemptId attempt) {
        AttemptState state = state(attempt);
        if (state == AttemptState.NEW || state == AttemptState.QUEUED) {
            close(attempt, false, AttemptState.SEALED);
        }
        return outcome(state, entries.get(attempt));
    }

    /** Prevents an attempt addressed to another incarnation from starting here; its outcome is not known here. */
    public SealOutcome sealForeign(AttemptId attempt) {
        AttemptState state = state(attempt);
        if (state == AttemptState.NEW || state == AttemptState.QUEUED) {
            close(attempt, false, AttemptState.FOREIGN);
        }
        return SealOutcome.of(SealOutcome.State.UNKNOWN);
    }

    private static SealOutcome outcome(AttemptState state, @Nullable LedgerEntry entry) {
        if (state != AttemptState.DONE) {
            return SealOutcome.of(state.sealState());
        }
        Payload result = entry == null ? null : entry.result();
        return result == null ? SealOutcome.of(SealOutcome.State.UNKNOWN) : SealOutcome.done(result);
    }

    private LedgerEntry require(AttemptId attempt, AttemptState expected) {
        AttemptState state = state(attempt);
        if (state != expected) {
            throw new IllegalStateException("attempt " + attempt + " is " + state + ", not " + expected);
        }
        LedgerEntry entry = entries.get(attempt);
        return entry == null ? new LedgerEntry(attempt, false, expected) : entry;
    }

    private void close(AttemptId attempt, boolean idempotent, AttemptState end) {
        AttemptState state = state(attempt);
        if (state.ended()) {
            throw new IllegalStateException("attempt " + attempt + " has already ended in state " + state);
        }
        LedgerEntry entry = entries.get(attempt);
        if (entry == null) {
            entry = new LedgerEntry(attempt, idempotent, state);
            insert(entry);
        }
        end(entry, end);
    }

    private void insert(LedgerEntry entry) {
        marks.note(entry.attempt().entry());
        entries.put(entry.attempt(), entry);
    }

    private void end(LedgerEntry entry, AttemptState end) {
        if (entry.state().active()) {
            active--;
        }
        entry.end(end, time.nanoTime());
        (entry.idempotent() ? endedIdempotent : endedOther).addLast(entry);
        evict();
    }

    private void keep(LedgerEntry entry, Payload result) {
        entry.keep(result);
        kept.addLast(entry);
        keptBytes += result.size();
        while (keptBytes > settings.keptBytes()) {
            keptBytes -= kept.removeFirst().dropResult();
        }
    }

    private void evict() {
        evictExpired(endedIdempotent);
        evictExpired(endedOther);
        evictExcess(endedIdempotent);
        evictExcess(endedOther);
    }

    private void evictExpired(Deque<LedgerEntry> ended) {
        long nowNanos = time.nanoTime();
        long retentionNanos = settings.retention().toNanos();
        while (!ended.isEmpty() && nowNanos - ended.getFirst().endedNanos() > retentionNanos) {
            drop(ended.removeFirst());
        }
    }

    private void evictExcess(Deque<LedgerEntry> ended) {
        while (entries.size() > settings.capacity() && !ended.isEmpty()) {
            drop(ended.removeFirst());
        }
    }

    private void drop(LedgerEntry entry) {
        if (kept.peekFirst() == entry) {
            // Results are stored in the order in which attempts end, so the oldest record has the oldest result.
            kept.removeFirst();
        }
        keptBytes -= entry.dropResult();
        entries.remove(entry.attempt());
        marks.raise(entry.attempt());
    }
}
