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
 * attempt whose record has been evicted is never mistaken for a new one, because {@link EvictionMarks} covers evicted
 * records. Records of idempotent attempts are evicted first, because only non-idempotent attempts are ever sealed; for
 * the same reason only results of non-idempotent attempts are stored.
 *
 * <p>Not thread-safe; the gate calls it under its lock.
 */
public final class AttemptLedger {

    private final LedgerSettings settings;
    private final TimeSource time;
    private final EvictionMarks marks;
    private final Map<AttemptId, AttemptRecord> records = new HashMap<>();
    private final Deque<AttemptRecord> endedIdempotent = new ArrayDeque<>();
    private final Deque<AttemptRecord> endedNonIdempotent = new ArrayDeque<>();
    private final Deque<AttemptRecord> recordsWithResult = new ArrayDeque<>();
    private int active;
    private long keptBytes;

    /** Creates an empty ledger. */
    public AttemptLedger(LedgerSettings settings, TimeSource time) {
        this.settings = settings;
        this.time = time;
        this.marks = new EvictionMarks(settings.entries());
    }

    /** Returns the state of an attempt. */
    public AttemptState state(AttemptId attempt) {
        AttemptRecord record = records.get(attempt);
        if (record != null) {
            return record.state();
        }
        return marks.covers(attempt) ? AttemptState.EVICTED : AttemptState.NEW;
    }

    /** Returns whether the attempts in progress have reached the capacity of the ledger. */
    public boolean full() {
        return active >= settings.capacity();
    }

    /** Returns the number of attempts on record. */
    public int size() {
        return records.size();
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
        requireState(attempt, AttemptState.NEW);
        insert(new AttemptRecord(attempt, idempotent, AttemptState.QUEUED));
        active++;
    }

    /**
     * Records that an accepted attempt is about to be sent to the target.
     *
     * @throws IllegalStateException if the attempt is not queued
     */
    public void begin(AttemptId attempt) {
        requireState(attempt, AttemptState.QUEUED).begin();
    }

    /**
     * Records the completion of a running attempt, and stores the result if the attempt is non-idempotent and the
     * result is within the size limit.
     *
     * @throws IllegalStateException if the attempt is not running
     */
    public void complete(AttemptId attempt, Payload result) {
        AttemptRecord record = requireState(attempt, AttemptState.RUNNING);
        if (!record.idempotent() && result.size() <= settings.keptBytesEach()) {
            storeResult(record, result);
        }
        end(record, AttemptState.DONE);
    }

    /**
     * Records that a running attempt failed.
     *
     * @throws IllegalStateException if the attempt is not running
     */
    public void fail(AttemptId attempt) {
        end(requireState(attempt, AttemptState.RUNNING), AttemptState.FAILED);
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
        endWithoutRun(attempt, idempotent, AttemptState.REFUSED);
    }

    /**
     * Records a new attempt that was addressed to another incarnation of the agent and does not run here.
     *
     * @throws IllegalStateException if the attempt is not new
     */
    public void recordOtherIncarnation(AttemptId attempt, boolean idempotent) {
        requireState(attempt, AttemptState.NEW);
        endWithoutRun(attempt, idempotent, AttemptState.OTHER_INCARNATION);
    }

    /** Returns the outcome of an attempt; an attempt that is new or queued is prevented from running. */
    public SealOutcome seal(AttemptId attempt) {
        AttemptState state = state(attempt);
        if (state == AttemptState.NEW || state == AttemptState.QUEUED) {
            endWithoutRun(attempt, false, AttemptState.SEALED);
        }
        return outcome(state, records.get(attempt));
    }

    /** Prevents an attempt addressed to another incarnation from starting here; its outcome is not known here. */
    public SealOutcome sealOtherIncarnation(AttemptId attempt) {
        AttemptState state = state(attempt);
        if (state == AttemptState.NEW || state == AttemptState.QUEUED) {
            endWithoutRun(attempt, false, AttemptState.OTHER_INCARNATION);
        }
        return SealOutcome.of(SealOutcome.State.UNKNOWN);
    }

    private static SealOutcome outcome(AttemptState state, @Nullable AttemptRecord record) {
        if (state != AttemptState.DONE) {
            return SealOutcome.of(state.sealState());
        }
        Payload result = record == null ? null : record.result();
        return result == null ? SealOutcome.of(SealOutcome.State.UNKNOWN) : SealOutcome.done(result);
    }

    private AttemptRecord requireState(AttemptId attempt, AttemptState expected) {
        AttemptState state = state(attempt);
        if (state != expected) {
            throw new IllegalStateException("attempt " + attempt + " is " + state + ", not " + expected);
        }
        AttemptRecord record = records.get(attempt);
        return record == null ? new AttemptRecord(attempt, false, expected) : record;
    }

    private void endWithoutRun(AttemptId attempt, boolean idempotent, AttemptState endState) {
        AttemptState state = state(attempt);
        if (state.ended()) {
            throw new IllegalStateException("attempt " + attempt + " has already ended in state " + state);
        }
        AttemptRecord record = records.get(attempt);
        if (record == null) {
            record = new AttemptRecord(attempt, idempotent, state);
            insert(record);
        }
        end(record, endState);
    }

    private void insert(AttemptRecord record) {
        marks.touch(record.attempt().entry());
        records.put(record.attempt(), record);
    }

    private void end(AttemptRecord record, AttemptState endState) {
        if (record.state().active()) {
            active--;
        }
        record.end(endState, time.nanoTime());
        (record.idempotent() ? endedIdempotent : endedNonIdempotent).addLast(record);
        evict();
    }

    private void storeResult(AttemptRecord record, Payload result) {
        record.storeResult(result);
        recordsWithResult.addLast(record);
        keptBytes += result.size();
        while (keptBytes > settings.keptBytes()) {
            keptBytes -= recordsWithResult.removeFirst().discardResult();
        }
    }

    private void evict() {
        evictExpired(endedIdempotent);
        evictExpired(endedNonIdempotent);
        evictExcess(endedIdempotent);
        evictExcess(endedNonIdempotent);
    }

    private void evictExpired(Deque<AttemptRecord> ended) {
        long nowNanos = time.nanoTime();
        long retentionNanos = settings.retention().toNanos();
        while (!ended.isEmpty() && nowNanos - ended.getFirst().endedNanos() > retentionNanos) {
            evictRecord(ended.removeFirst());
        }
    }

    private void evictExcess(Deque<AttemptRecord> ended) {
        while (records.size() > settings.capacity() && !ended.isEmpty()) {
            evictRecord(ended.removeFirst());
        }
    }

    private void evictRecord(AttemptRecord record) {
        if (recordsWithResult.peekFirst() == record) {
            // Results are stored in the order in which attempts end, so the oldest record has the oldest result.
            recordsWithResult.removeFirst();
        }
        keptBytes -= record.discardResult();
        records.remove(record.attempt());
        marks.raise(record.attempt());
    }
}
