package io.masticfold.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.withinPercentage;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against bad versions that are completed, and sound ones that are rolled back. */
final class RolloutPolicyTests {

    private static final Duration DURATION = Duration.ofSeconds(10);

    private static Map<String, VersionCounts> route(String name, long answered, long failed, long slow) {
        return Map.of(name, new VersionCounts(answered + failed + slow, answered, failed, slow));
    }

    private static RolloutStep decide(
            double fraction, Map<String, VersionCounts> fresh, Map<String, VersionCounts> old, boolean moved) {
        Duration elapsed = Duration.ofNanos((long) (fraction * DURATION.toNanos()));
        return RolloutPolicy.decide(elapsed, DURATION, fresh, old, moved);
    }

    @ParameterizedTest
    @CsvSource({
        "0.1, 80, false, EXPOSE",
        "0.5, 80, false, EXPOSE",
        "0.6, 80, false, MOVE",
        "0.7, 80, true, COMPLETE",
        "0.85, 80, false, COMPLETE",
        "0.7, 9, false, EXPOSE",
        "0.85, 9, false, EXPOSE",
        "0.92, 9, false, ROLL_BACK",
        "0.92, 0, false, ROLL_BACK",
    })
    void soundVersionMovesAndCompletes(double fraction, long answered, boolean moved, RolloutStep expected) {
        assertThat(decide(fraction, route("r", answered, 0, 0), route("r", 800, 2, 10), moved))
                .isEqualTo(expected);
    }

    /** Load: a part of the responses fails or is slow, while the old version has few such responses. */
    @ParameterizedTest
    @CsvSource({"20, 8, 0", "20, 0, 8", "20, 4, 4", "0, 12, 0"})
    void badVersionIsRolledBack(long answered, long failed, long slow) {
        assertThat(decide(0.2, route("r", answered, failed, slow), route("r", 800, 2, 10), false))
                .isEqualTo(RolloutStep.ROLL_BACK);
    }

    @Test
    void troubleOfBothVersionsIsNotThatOfTheNewOne() {
        assertThat(decide(0.2, route("r", 60, 30, 10), route("r", 600, 300, 100), false))
                .isEqualTo(RolloutStep.EXPOSE);
    }

    @Test
    void handfulOfBadResponsesDecidesNothing() {
        assertThat(decide(0.2, route("r", 0, 3, 0), route("r", 800, 2, 10), false))
                .isEqualTo(RolloutStep.EXPOSE);
    }

    @Test
    void routeThatTheOldVersionHasNotServedDecidesNothingByItself() {
        assertThat(decide(0.2, route("r", 0, 4, 0), Map.of(), false)).isEqualTo(RolloutStep.EXPOSE);
    }

    @Test
    void versionThatIsBadOnOneRouteOnlyIsRolledBack() {
        Map<String, VersionCounts> fresh = new HashMap<>(route("frequent", 500, 1, 0));
        fresh.putAll(route("rare", 0, 7, 0));
        Map<String, VersionCounts> old = new HashMap<>(route("frequent", 5_000, 10, 0));
        old.putAll(route("rare", 60, 0, 0));

        assertThat(decide(0.3, fresh, old, false)).isEqualTo(RolloutStep.ROLL_BACK);
    }

    @Test
    void versionThatTurnsBadWhileAllRequestsMoveIsRolledBack() {
        assertThat(decide(0.7, route("r", 90, 20, 0), route("r", 800, 2, 10), false))
                .isEqualTo(RolloutStep.ROLL_BACK);
    }

    @Test
    void orderWithoutTimeEndsAtOnce() {
        assertThat(RolloutPolicy.decide(Duration.ZERO, Duration.ZERO, Map.of(), Map.of(), false))
                .isEqualTo(RolloutStep.ROLL_BACK);
    }

    /** Load: 200 orders of a sound version whose responses are as bad as those of the old one, examined 50 times each. */
    @Test
    void soundVersionsAreRarelyRolledBack() {
        Random random = new Random(11);
        int rolledBack = 0;
        for (int order = 0; order < 200; order++) {
            Map<String, VersionCounts> fresh = new HashMap<>();
            Map<String, VersionCounts> old = new HashMap<>();
            RolloutStep step = RolloutStep.EXPOSE;
            for (int look = 0; look < 50 && step == RolloutStep.EXPOSE; look++) {
                draw(random, fresh, 4);
                draw(random, old, 40);
                step = decide(0.1, fresh, old, false);
            }
            rolledBack += step == RolloutStep.ROLL_BACK ? 1 : 0;
        }

        assertThat(rolledBack).isLessThanOrEqualTo(2);
    }

    private static void draw(Random random, Map<String, VersionCounts> counts, int requests) {
        for (int request = 0; request < requests; request++) {
            boolean bad = random.nextDouble() < 0.03;
            counts.merge("r", new VersionCounts(1, bad ? 0 : 1, bad ? 1 : 0, 0), VersionCounts::plus);
        }
    }

    /** Expected values: quotients of binomial coefficients, computed independently. */
    @ParameterizedTest
    @CsvSource({
        "0, 10, 3, 10, 1.0",
        "4, 4, 0, 10, 9.9900e-4",
        "7, 7, 1, 20, 9.0087e-6",
        "3, 4, 1, 4, 0.242857",
        "10, 10, 0, 10, 5.4125e-6",
        "5, 5, 5, 5, 1.0",
    })
    void upperTailOfTheHypergeometricDistribution(long bad, long size, long otherBad, long otherSize, double expected) {
        assertThat(FisherTest.upperTail(bad, size, otherBad, otherSize)).isCloseTo(expected, withinPercentage(0.01));
    }

    /**
     * Guards against taking the rate of few old responses as exact. Sums the probabilities of all outcomes of two
     * versions that are equally bad for which the new one is taken for worse.
     */
    @ParameterizedTest
    @CsvSource({"100, 30, 0.3", "60, 10, 0.5", "200, 100, 0.05", "100, 400, 0.02"})
    void falseAlarmsAreAsRareAsStatedForSmallSamplesOfTheOldVersion(int fresh, int old, double badRate) {
        double alarms = 0;
        for (int freshBad = 0; freshBad < RolloutPolicy.MAX_BAD; freshBad++) {
            for (int oldBad = 0; oldBad <= old && freshBad <= fresh; oldBad++) {
                if (RolloutPolicy.isBad(
                        route("r", fresh - freshBad, freshBad, 0), route("r", old - oldBad, oldBad, 0))) {
                    alarms += probability(freshBad, fresh, badRate) * probability(oldBad, old, badRate);
                }
            }
        }
        assertThat(alarms).isLessThanOrEqualTo(RolloutPolicy.FALSE_ALARM_PROBABILITY);
    }

    private static double probability(int bad, int size, double badRate) {
        double product = 1;
        for (int k = 1; k <= bad; k++) {
            product *= (double) (size - bad + k) / k * badRate;
        }
        return product * Math.pow(1 - badRate, size - bad);
    }

    /** Load: a fault of both versions, which gives no verdict; the operators' bound on bad responses holds all the same. */
    @ParameterizedTest
    @CsvSource({"0.2, 49, EXPOSE", "0.2, 50, STOP", "0.7, 50, STOP", "0.85, 50, STOP", "0.92, 50, ROLL_BACK"})
    void fiftiethBadResponseStopsSendsWithoutAVerdict(double fraction, long bad, RolloutStep expected) {
        assertThat(decide(fraction, route("r", 60, bad - 10, 10), route("r", 600, 300, 100), true))
                .isEqualTo(expected);
    }

    /** Guards against completing a version that only fails because nothing of the old one answers beside it. */
    @Test
    void failingVersionIsRolledBackWithoutResponsesOfTheOldOne() {
        assertThat(decide(0.7, route("r", 0, 12, 0), Map.of(), true)).isEqualTo(RolloutStep.ROLL_BACK);
    }

    /**
     * Load: few requests, of which nearly all are slow at the new version and a few at the old one. A version that is
     * completed on so little evidence would get all requests although it is bad.
     */
    @ParameterizedTest
    @CsvSource({"0.65, EXPOSE", "0.85, EXPOSE", "0.95, ROLL_BACK"})
    void versionThatIsLikelyBadIsNotMovedTo(double fraction, RolloutStep step) {
        Map<String, VersionCounts> newCounts = Map.of("r", new VersionCounts(11, 2, 0, 9));
        Map<String, VersionCounts> oldCounts = Map.of("r", new VersionCounts(36, 31, 0, 5));

        assertThat(RolloutPolicy.isBad(newCounts, oldCounts)).isFalse();
        assertThat(RolloutPolicy.decide(
                        Duration.ofMillis((long) (fraction * 10_000)),
                        Duration.ofSeconds(10),
                        newCounts,
                        oldCounts,
                        true))
                .isEqualTo(step);
        assertThat(RolloutPolicy.decideWhileMoving(
                        Duration.ofMillis((long) (fraction * 10_000)),
                        Duration.ofSeconds(10),
                        newCounts,
                        oldCounts,
                        true))
                .isEqualTo(RolloutStep.COMPLETE);
    }
}
