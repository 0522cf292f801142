package io.masticfold.core.gate;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.Temperature;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests when the slow-start limit grows, when it is reset, and which outdated information must not let it grow. */
final class SlowStartLimitTests {

    private static final TargetBounds BOUNDS = new TargetBounds(2, 10, 0);
    private static final long MILLI = 1_000_000L;
    private static final long REPORT_TIMEOUT_NANOS = SlowStartLimit.REPORT_TIMEOUT.toNanos();

    private final SlowStartLimit slowStart = new SlowStartLimit(0);
    private long now;

    private void serve(int times, long millis) {
        for (int i = 0; i < times; i++) {
            now += millis * MILLI;
            slowStart.onSuccess(slowStart.epoch(), millis * MILLI, now, BOUNDS);
        }
    }

    private void report(String boot, Temperature temperature, long ageMillis) {
        slowStart.onReport(new TargetReport(boot, temperature, 0, 0, 10, ageMillis), now);
    }

    private int limit() {
        return slowStart.limit(BOUNDS);
    }

    private void warmUp() {
        report("b1", Temperature.WARM, 0);
        serve(8, 10);
        assertThat(limit()).isEqualTo(10);
        assertThat(slowStart.temperature(BOUNDS)).isEqualTo(Temperature.WARM);
    }

    @Test
    void growsByOnePerSuccessOnceAReportSaysWarm() {
        serve(3, 10);
        assertThat(limit()).isEqualTo(2);
        report("b1", Temperature.WARMING, 0);
        serve(3, 10);
        assertThat(limit()).as("still warming up").isEqualTo(2);
        report("b1", Temperature.WARM, 0);
        serve(3, 10);
        assertThat(limit()).isEqualTo(5);
        assertThat(slowStart.temperature(BOUNDS)).isEqualTo(Temperature.WARMING);
        serve(50, 10);
        assertThat(limit()).isEqualTo(10);
    }

    @Test
    void growsOnServiceTimesAloneWithoutReports() {
        now = REPORT_TIMEOUT_NANOS;
        serve(1, 1);
        assertThat(limit()).isEqualTo(3);
    }

    static Stream<Arguments> coldSigns() {
        return Stream.of(
                sign("connect failure", test -> test.slowStart.reset(test.now)),
                sign("cold report", test -> test.report("b1", Temperature.COLD, 0)),
                sign("new boot", test -> test.report("b2", Temperature.WARM, 0)),
                sign("unknown boot with an older report", test -> test.report("b0", Temperature.WARM, 5_000)),
                sign("consecutive slow calls", test -> test.serve(SlowStartLimit.SLOW_CALL_THRESHOLD, 100)));
    }

    private static Arguments sign(String name, Consumer<SlowStartLimitTests> sign) {
        return Arguments.of(name, sign);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("coldSigns")
    void aColdSignResetsTheLimitAndAnEarlierSuccessDoesNotCount(String name, Consumer<SlowStartLimitTests> sign) {
        warmUp();
        long earlierEpoch = slowStart.epoch();

        sign.accept(this);
        report("b2", Temperature.WARM, 0);
        slowStart.onSuccess(earlierEpoch, 10 * MILLI, now, BOUNDS);

        assertThat(limit()).as(name).isEqualTo(2);
    }

    @Test
    void slowCallsBelowTheThresholdDoNotResetTheLimit() {
        warmUp();
        serve(SlowStartLimit.SLOW_CALL_THRESHOLD - 1, 100);
        serve(1, 10);
        serve(1, 100);
        assertThat(limit()).isEqualTo(10);
    }

    @Test
    void aReportFromBeforeTheResetOrAnEarlierBootDoesNotAllowGrowth() {
        warmUp();
        now += 100 * MILLI;
        slowStart.reset(now);
        now += 50 * MILLI;
        report("b1", Temperature.WARM, 60);
        serve(3, 1);
        assertThat(limit()).as("report measured before the reset").isEqualTo(2);
        report("b2", Temperature.COLD, 0);
        report("b1", Temperature.WARM, 0);
        serve(3, 1);
        assertThat(limit()).as("report of the previous boot").isEqualTo(2);
        report("b2", Temperature.WARMING, 0);
        serve(3, 1);
        assertThat(limit()).as("still warming up").isEqualTo(2);
        report("b2", Temperature.WARM, 0);
        serve(3, 1);
        assertThat(limit()).isEqualTo(5);
    }

    @Test
    void aWarmingReportResetsTheLimit() {
        warmUp();
        report("b1", Temperature.WARMING, 0);
        assertThat(limit()).isEqualTo(2);
    }

    @Test
    void theBaselineAdaptsToAPermanentSlowdown() {
        warmUp();
        for (int i = 0; i < 100; i++) {
            report("b1", Temperature.WARM, 0);
            serve(1, 100);
        }
        assertThat(limit()).isGreaterThan(2);
    }

    @Test
    void theLimitFollowsTheConfiguredBounds() {
        warmUp();
        assertThat(slowStart.limit(new TargetBounds(1, 4, 0))).isEqualTo(4);
        assertThat(slowStart.limit(TargetBounds.ADMITS_NOTHING)).isZero();
    }

    @Test
    void theAdaptiveLimitFallsWithSlowServiceAndRecovers() {
        AdaptiveLimit adaptive = new AdaptiveLimit();
        for (int i = 0; i < 100; i++) {
            adaptive.onSuccess(10 * MILLI, 10, BOUNDS);
        }
        assertThat(adaptive.limit(BOUNDS)).isEqualTo(10);
        for (int i = 0; i < 30; i++) {
            adaptive.onSuccess(200 * MILLI, adaptive.limit(BOUNDS), BOUNDS);
        }
        assertThat(adaptive.limit(BOUNDS)).isBetween(2, 6);
        for (int i = 0; i < 100; i++) {
            adaptive.onSuccess(10 * MILLI, adaptive.limit(BOUNDS), BOUNDS);
        }
        assertThat(adaptive.limit(BOUNDS)).isEqualTo(10);
    }
}
