package io.masticfold.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against status queries for every call of a healthy server, and against lost answers that leave it idle. */
final class LateCallDetectionTests {

    @ParameterizedTest
    @CsvSource({"280, 1, 318", "280, 0.7, 318", "280, 5, 1600", "43, 1, 60"})
    void aServerOfUsualSpeedIsNotQueried(double expected, double slowness, double typicalDuration) {
        assertThat(LateCallDetection.queryDelayMillis(expected, slowness)).isGreaterThan(typicalDuration);
    }

    /** Covers calls whose answer is lost while the latency objective leaves one second for all stages. */
    @ParameterizedTest
    @CsvSource({"280, 1", "193, 1"})
    void aLostAnswerLeavesTimeToRepeatTheCallWithinASecond(double expected, double slowness) {
        assertThat(LateCallDetection.queryDelayMillis(expected, slowness) + expected)
                .isLessThan(1_000);
    }
}
