package io.masticfold.core.hedge;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against answers of a fast target that count as taking no time, so that every request is sent twice. */
final class RecentAnswerTimesTests {

    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final RecentAnswerTimes times = new RecentAnswerTimes(new ManualScheduler(), WINDOW);

    @ParameterizedTest
    @ValueSource(longs = {40, 300, 999, 1_500, 250_000})
    void quantileIsNearTheTimesOfEqualAnswers(long micros) {
        Duration answerTime = Duration.ofNanos(TimeUnit.MICROSECONDS.toNanos(micros));
        for (int i = 0; i < 20; i++) {
            times.record(answerTime);
        }

        assertThat(times.quantile(0.95)).hasValueSatisfying(quantile -> assertThat(quantile)
                .isBetween(answerTime, answerTime.multipliedBy(102).dividedBy(100)));
    }

    @Test
    void timesAboveOneMinuteCountAsOne() {
        for (int i = 0; i < 20; i++) {
            times.record(Duration.ofDays(30));
        }

        assertThat(times.quantile(0.95)).hasValueSatisfying(quantile -> assertThat(quantile)
                .isBetween(Duration.ofSeconds(60), Duration.ofSeconds(62)));
    }
}
