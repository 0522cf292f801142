package io.masticfold.core.time;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against decisions made after a pause of the process on what was known before it. */
final class PauseGuardTests {

    private static final Duration MAX_GAP = Duration.ofSeconds(1);

    private final ManualScheduler scheduler = new ManualScheduler();
    private final SteppedWallClock clock = new SteppedWallClock(scheduler);
    private final PauseGuard guard = new PauseGuard(clock, MAX_GAP);
    private final List<Duration> pauses = new ArrayList<>();
    private final List<String> done = new ArrayList<>();

    @BeforeEach
    void start() {
        guard.start(pauses::add);
    }

    @Test
    void passesWhileObservedOftenEnough() {
        for (int i = 0; i < 10; i++) {
            scheduler.pause(MAX_GAP);
            assertThat(guard.passes()).isTrue();
        }
        assertThat(pauses).isEmpty();
    }

    @Test
    void aTaskAfterAPauseWaitsForTheConfirmationAndKeepsItsOrder() {
        scheduler.pause(MAX_GAP.plusMillis(1));
        guard.run(() -> done.add("first"));
        guard.run(() -> done.add("second"));
        scheduler.advance(MAX_GAP);
        assertThat(done).isEmpty();
        assertThat(pauses).containsExactly(MAX_GAP.plusMillis(1));

        guard.confirm();
        scheduler.runDue();

        assertThat(done).containsExactly("first", "second");
        assertThat(guard.passes()).isTrue();
    }

    @Test
    void aPauseBetweenTheConfirmationAndTheTaskHoldsTheTaskAgain() {
        scheduler.pause(MAX_GAP.multipliedBy(2));
        guard.run(() -> done.add("task"));
        guard.confirm();
        scheduler.pause(MAX_GAP.multipliedBy(2));
        scheduler.runDue();
        assertThat(done).isEmpty();
        assertThat(pauses).hasSize(2);

        guard.confirm();
        scheduler.runDue();

        assertThat(done).containsExactly("task");
    }

    @Test
    void aConfirmationReadBeforeASecondPauseConfirmsNothing() {
        scheduler.pause(MAX_GAP.multipliedBy(2));
        guard.run(() -> done.add("task"));
        scheduler.pause(MAX_GAP.multipliedBy(2));

        guard.confirm();
        scheduler.runDue();

        assertThat(done).isEmpty();
        assertThat(guard.passes()).isFalse();
        assertThat(pauses).hasSize(2);
    }

    @Test
    void aSuspensionThatTheMonotonicClockDoesNotCountIsAPause() {
        clock.step(MAX_GAP.multipliedBy(3));

        assertThat(guard.passes()).isFalse();
        assertThat(pauses).containsExactly(MAX_GAP.multipliedBy(3));
    }

    @Test
    void aClockThatIsSetBackIsNoPause() {
        clock.step(MAX_GAP.multipliedBy(-3));

        assertThat(guard.passes()).isTrue();
    }

    @Test
    void passesEverythingBeforeItIsStarted() {
        PauseGuard idle = new PauseGuard(clock, MAX_GAP);
        scheduler.pause(MAX_GAP.multipliedBy(2));

        assertThat(idle.passes()).isTrue();
    }

    @ParameterizedTest
    @ValueSource(longs = {0, -1})
    void rejectsAGapThatIsNotPositive(long millis) {
        assertThatThrownBy(() -> new PauseGuard(clock, Duration.ofMillis(millis)))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("maxGap");
    }

    /** Clock whose time of day can be set apart from the monotonic time. */
    private static final class SteppedWallClock implements Scheduler {

        private final Scheduler monotonic;
        private Duration offset = Duration.ZERO;

        SteppedWallClock(Scheduler monotonic) {
            this.monotonic = monotonic;
        }

        void step(Duration by) {
            offset = offset.plus(by);
        }

        @Override
        public long nanoTime() {
            return monotonic.nanoTime();
        }

        @Override
        public Instant now() {
            return monotonic.now().plus(offset);
        }

        @Override
        public Cancellable schedule(Duration delay, Runnable task) {
            return monotonic.schedule(delay, task);
        }
    }
}
