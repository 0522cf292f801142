package io.masticfold.core.attempt;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Checks that an evicted attempt is never reported as new, and one that ran never as not run. */
final class AttemptLedgerTests {

    private static final Duration RETENTION = Duration.ofMinutes(10);
    private static final Incarnation ENTRY = new Incarnation(50, 1);

    private final ManualScheduler time = new ManualScheduler();

    private AttemptLedger ledger(int capacity, int entries) {
        return new AttemptLedger(new LedgerSettings(capacity, RETENTION, 10, 6, entries), time);
    }

    private static AttemptId id(Incarnation entry, long counter) {
        return new AttemptId(entry, counter);
    }

    private static void run(AttemptLedger ledger, AttemptId attempt, boolean idempotent, String result) {
        ledger.accept(attempt, idempotent);
        ledger.begin(attempt);
        ledger.complete(attempt, Payload.ofUtf8(result));
    }

    @Test
    void retentionEvictsRecordsAndTheMarkCoversThem() {
        AttemptLedger ledger = ledger(100, 10);
        run(ledger, id(ENTRY, 5), false, "r");
        time.advance(RETENTION);
        run(ledger, id(ENTRY, 6), false, "r");
        assertThat(ledger.state(id(ENTRY, 5))).isEqualTo(AttemptState.DONE);
        time.advance(Duration.ofNanos(1));
        run(ledger, id(ENTRY, 7), false, "r");

        assertThat(ledger.state(id(ENTRY, 5))).isEqualTo(AttemptState.EVICTED);
        assertThat(ledger.seal(id(ENTRY, 5)).state()).isEqualTo(SealOutcome.State.UNKNOWN);
        assertThat(ledger.state(id(ENTRY, 4))).isEqualTo(AttemptState.EVICTED);
        assertThat(ledger.state(id(ENTRY, 8))).isEqualTo(AttemptState.NEW);
        assertThat(ledger.state(id(new Incarnation(1, 1), 1))).isEqualTo(AttemptState.NEW);
    }

    @Test
    void capacityEvictsIdempotentRecordsFirstAndNeverThoseInProgress() {
        AttemptLedger ledger = ledger(2, 10);
        ledger.accept(id(ENTRY, 1), false);
        run(ledger, id(ENTRY, 2), false, "paid");
        run(ledger, id(ENTRY, 3), true, "r");

        assertThat(ledger.state(id(ENTRY, 1))).isEqualTo(AttemptState.QUEUED);
        assertThat(ledger.seal(id(ENTRY, 2))).isEqualTo(SealOutcome.done(Payload.ofUtf8("paid")));
        assertThat(ledger.state(id(ENTRY, 3))).isEqualTo(AttemptState.EVICTED);
        ledger.accept(id(ENTRY, 4), false);
        assertThat(ledger.full()).isTrue();
        ledger.refuse(id(ENTRY, 5), false);
        assertThat(ledger.state(id(ENTRY, 5))).isEqualTo(AttemptState.EVICTED);
    }

    @ParameterizedTest
    @CsvSource({"123456, DONE", "1234567, UNKNOWN"})
    void aResultOverTheLimitIsNotStoredAndItsAttemptIsNeverReportedAsNotRun(String result, SealOutcome.State state) {
        AttemptLedger ledger = ledger(100, 10);
        run(ledger, id(ENTRY, 1), false, result);
        assertThat(ledger.seal(id(ENTRY, 1)).state()).isEqualTo(state);
        assertThat(ledger.state(id(ENTRY, 1))).isEqualTo(AttemptState.DONE);
    }

    @Test
    void theOldestResultsAreDiscardedFirst() {
        AttemptLedger ledger = ledger(100, 10);
        run(ledger, id(ENTRY, 1), false, "12345");
        run(ledger, id(ENTRY, 2), false, "12345");
        run(ledger, id(ENTRY, 3), false, "1");

        assertThat(ledger.keptBytes()).isEqualTo(6);
        assertThat(ledger.seal(id(ENTRY, 1)).state()).isEqualTo(SealOutcome.State.UNKNOWN);
        assertThat(ledger.seal(id(ENTRY, 2)).state()).isEqualTo(SealOutcome.State.DONE);
    }

    @Test
    void anEvictedMarkRaisesTheFloorExceptForEntriesWithAMark() {
        AttemptLedger ledger = ledger(1, 2);
        Incarnation older = new Incarnation(10, 1);
        Incarnation newer = new Incarnation(90, 1);
        ledger.refuse(id(ENTRY, 1), false);
        ledger.refuse(id(older, 1), false);
        ledger.refuse(id(newer, 1), false);

        assertThat(ledger.state(id(ENTRY, 1))).isEqualTo(AttemptState.EVICTED);
        assertThat(ledger.state(id(ENTRY, 2))).isEqualTo(AttemptState.EVICTED);
        assertThat(ledger.state(id(new Incarnation(20, 7), 1))).isEqualTo(AttemptState.EVICTED);
        assertThat(ledger.state(id(older, 2))).isEqualTo(AttemptState.NEW);
        assertThat(ledger.state(id(new Incarnation(60, 1), 1))).isEqualTo(AttemptState.NEW);
    }

    @Test
    void aSecondAcceptanceOrAChangeOfAnEndedAttemptIsRejected() {
        AttemptLedger ledger = ledger(10, 10);
        run(ledger, id(ENTRY, 1), true, "r");
        assertThatThrownBy(() -> ledger.accept(id(ENTRY, 1), true)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> ledger.refuse(id(ENTRY, 1), true)).isInstanceOf(IllegalStateException.class);
        assertThatThrownBy(() -> ledger.begin(id(ENTRY, 1))).isInstanceOf(IllegalStateException.class);
    }
}
