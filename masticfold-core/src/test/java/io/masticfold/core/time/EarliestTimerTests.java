package io.masticfold.core.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Guards against work that waits for a late timer although it could be done now. */
final class EarliestTimerTests {

    private final ManualScheduler scheduler = new ManualScheduler();
    private int runs;
    private final EarliestTimer timer = new EarliestTimer(scheduler, () -> runs++);

    private void arm(long millis) {
        timer.arm(Duration.ofMillis(millis));
    }

    @Test
    void earlierTimeReplacesALaterOne() {
        arm(120_000);
        arm(0);
        scheduler.advance(Duration.ofMillis(1));
        assertThat(runs).isEqualTo(1);
        scheduler.advance(Duration.ofMillis(120_000));
        assertThat(runs).isEqualTo(1);
    }

    @Test
    void laterTimeDoesNotDelayAnEarlierOne() {
        arm(10);
        arm(100);
        scheduler.advance(Duration.ofMillis(10));
        assertThat(runs).isEqualTo(1);
        scheduler.advance(Duration.ofMillis(200));
        assertThat(runs).isEqualTo(1);
    }

    @Test
    void timerCanBeArmedAgainAfterARun() {
        arm(10);
        scheduler.advance(Duration.ofMillis(10));
        arm(10);
        scheduler.advance(Duration.ofMillis(10));
        assertThat(runs).isEqualTo(2);
    }
}
