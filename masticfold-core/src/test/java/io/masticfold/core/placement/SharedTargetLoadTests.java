package io.masticfold.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against load, pace and failures of a target that are counted twice, kept too long, or kept for a lost peer. */
final class SharedTargetLoadTests {

    private static final long SECOND = Duration.ofSeconds(1).toNanos();

    private final SharedTargetLoad load = new SharedTargetLoad();

    @Test
    void laterStatusOfAPeerReplacesTheEarlierOne() {
        load.sent(500);
        load.recordPeer("p", 4, 9_000);
        load.recordPeer("p", 3, 2_000);
        load.recordPeer("q", 1, 100);

        assertThat(load.inFlight()).isEqualTo(5);
        assertThat(load.queuedTokens()).isEqualTo(2_600);
    }

    @Test
    void requestsOfALostPeerAreForgotten() {
        load.recordPeer("p", 4, 9_000);
        load.forgetPeer("p");

        assertThat(load.inFlight()).isZero();
    }

    @ParameterizedTest
    @CsvSource({"0, 2.5", "300, 1.75", "600, 1", "5000, 1"})
    void paceLosesWeightWithTheAgeOfItsReport(long ageMillis, double expected) {
        load.recordPace(2.5, 0);

        assertThat(load.slowdown(Duration.ofMillis(ageMillis).toNanos())).isCloseTo(expected, within(0.01));
    }

    @Test
    void olderReportOfAPeerDoesNotReplaceALaterOne() {
        load.recordPace(1, 2 * SECOND);
        load.recordPace(9, SECOND);

        assertThat(load.slowdown(2 * SECOND)).isCloseTo(1, within(0.01));
    }

    @Test
    void failuresAreForgottenWithinSeconds() {
        load.recordOutcomes(0, 8, 0);

        assertThat(load.failureRate(0)).isGreaterThan(0.75);
        assertThat(load.failureRate(30 * SECOND)).isLessThan(0.01);
    }

    @Test
    void singleFailureDoesNotCondemnATarget() {
        load.recordOutcomes(20, 1, 0);

        assertThat(load.failureRate(0)).isLessThan(0.05);
    }

    @Test
    void targetThatTakesThreeTimesAsLongIsSlowUntilItRecovers() {
        load.recordDurations(30_000, 10_000, 0);
        assertThat(load.slowdown(0)).isBetween(2.7, 3.0);

        load.recordDurations(10_000, 10_000, 6 * SECOND);
        assertThat(load.slowdown(6 * SECOND)).isLessThan(1.5);
    }
}
