package io.masticfold.core.stage;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a stage server that is never called again since one call was slow, and against a biased average. */
final class SlowdownEstimateTests {

    private static final double EXPECTED_MILLIS = 50;

    private final SlowdownEstimate estimate = new SlowdownEstimate();
    private long nowNanos = Long.MAX_VALUE - TimeUnit.SECONDS.toNanos(1);

    private void idle(double millis) {
        nowNanos += (long) (millis * 1e6);
    }

    private void call(double ratio) {
        idle(ratio * EXPECTED_MILLIS);
        estimate.record(ratio * EXPECTED_MILLIS, EXPECTED_MILLIS, nowNanos);
    }

    private void callLate(double ratio) {
        idle(ratio * EXPECTED_MILLIS);
        estimate.recordLate(ratio * EXPECTED_MILLIS, EXPECTED_MILLIS, nowNanos);
    }

    @Test
    void unknownServerIsExpectedToTakeExpectedTime() {
        assertThat(estimate.value(nowNanos)).isEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(doubles = {1.5, 3, 10, 20})
    void halfOfSlowdownIsForgottenInSomeIdleCalls(double ratio) {
        callLate(ratio);
        assertThat(estimate.value(nowNanos)).isEqualTo(ratio);

        idle(SlowdownEstimate.HALF_LIFE_CALLS * ratio * EXPECTED_MILLIS);

        assertThat(estimate.value(nowNanos)).isCloseTo(1 + (ratio - 1) / 2, within(1e-6));
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.7, 1, 2, 8})
    void averageOfBusyServerConvergesToItsRatio(double ratio) {
        for (int i = 0; i < 40; i++) {
            call(ratio);
        }

        assertThat(estimate.value(nowNanos)).isCloseTo(ratio, within(0.01));
    }

    @ParameterizedTest
    @ValueSource(doubles = {2, 5, 20})
    void slowServerGetsSmallShareOfItsTimeInTrials(double ratio) {
        callLate(ratio);
        double idleMillis = 0;
        while (estimate.value(nowNanos) > 1.1) {
            idle(10);
            idleMillis += 10;
        }

        assertThat(ratio * EXPECTED_MILLIS / idleMillis).isBetween(0.02, 0.1);
    }

    @Test
    void fastServerStaysFast() {
        call(0.7);
        call(0.7);
        double before = estimate.value(nowNanos);
        assertThat(before).isLessThan(1);

        idle(60_000);

        assertThat(estimate.value(nowNanos)).isEqualTo(before);
    }

    @Test
    void lateCallIsNotAveraged() {
        call(1);
        callLate(9);

        assertThat(estimate.value(nowNanos)).isEqualTo(9);
    }

    @ParameterizedTest
    @ValueSource(doubles = {0.001, 1000})
    void valueIsBounded(double ratio) {
        for (int i = 0; i < 40; i++) {
            call(ratio);
        }

        assertThat(estimate.value(nowNanos)).isBetween(SlowdownEstimate.MIN, SlowdownEstimate.MAX);
    }
}
