package io.masticfold.core.time;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against periodic tasks that each wake the event loop of an idle gateway at a time of their own. */
final class TimerGridTests {

    private static final Duration INTERVAL = Duration.ofMillis(100);

    @ParameterizedTest
    @CsvSource({"0, 100", "1, 99", "49, 51", "50, 150", "99, 101", "100, 100", "103, 97", "1003, 97"})
    void endsAtAMultipleOfTheInterval(long nowMillis, long expectedMillis) {
        ManualScheduler time = new ManualScheduler();
        time.advance(Duration.ofMillis(nowMillis));

        assertThat(TimerGrid.delay(time, INTERVAL)).isEqualTo(Duration.ofMillis(expectedMillis));
    }

    /** A late task must not shift the later ones: the mean interval, on which time limits rely, stays the same. */
    @Test
    void lateTasksDoNotAddUp() {
        ManualScheduler time = new ManualScheduler();
        for (int run = 1; run <= 50; run++) {
            time.advance(TimerGrid.delay(time, INTERVAL).plusMillis(run % 7));
        }

        assertThat(Duration.ofNanos(time.nanoTime())).isBetween(INTERVAL.multipliedBy(50), Duration.ofMillis(5010));
    }

    @Test
    void refusesAnIntervalThatIsNotPositive() {
        assertThatThrownBy(() -> TimerGrid.delay(new ManualScheduler(), Duration.ZERO))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
