package io.masticfold.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests to a target within the pause that it has asked for. */
final class TargetPausesTests {

    private static final String TARGET = "t1@1";

    private final ManualScheduler time = new ManualScheduler();
    private final TargetPauses pauses = new TargetPauses(time);

    @ParameterizedTest
    @CsvSource({
        // first, after, second, remaining
        "2000, 500, 1000, 1500",
        "1000, 500, 2000, 2000",
        "1000, 1000, 300, 300",
        "1000, 1500, 300, 300",
    })
    void shorterPauseEndsALongerOne(int first, int after, int second, int remaining) {
        pauses.record(TARGET, Duration.ofMillis(first));
        time.advance(Duration.ofMillis(after));
        pauses.record(TARGET, Duration.ofMillis(second));
        assertThat(pauses.remaining(TARGET)).isEqualTo(Duration.ofMillis(remaining));
    }

    @Test
    void nextIncarnationIsPausedToo() {
        assertThat(pauses.record(TARGET, Duration.ofSeconds(1))).isTrue();
        assertThat(pauses.record(TARGET, Duration.ofSeconds(1))).isFalse();
        assertThat(pauses.remaining("t1@2")).isZero();
        time.advance(Duration.ofSeconds(1));
        assertThat(pauses.remaining(TARGET)).isZero();
    }
}
