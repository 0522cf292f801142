package io.masticfold.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against gateways that together exceed the limit that a target names, and against limits kept too long. */
final class TargetRateLimitTests {

    /** Length of the window in which requests are counted, the factor and the number allowed on top of the limit. */
    private static final Duration WINDOW = Duration.ofSeconds(4);

    private static final double FACTOR = 1.5;
    private static final int SLACK = 5;

    private static final Duration STEP = Duration.ofMillis(20);
    private static final int STEPS = 1500;

    private final ManualScheduler time = new ManualScheduler();

    private static List<String> names(int gateways) {
        return IntStream.range(0, gateways).mapToObj(i -> "gateway-" + i).toList();
    }

    /** Gateways with bursts of demand, some of which stop and come back; each notices it at another time. */
    @Property(seed = "5", tries = 80)
    @Tag("property")
    void sumOfTheGatewaysStaysWithinTheLimit(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 60) int count, @ForAll @IntRange(max = 5) int scale) {
        Random random = new Random(seed);
        double limit = List.of(0.1, 0.5, 1.0, 3.0, 10.0, 100.0).get(scale);
        List<String> gateways = names(count);
        List<TargetRateLimit> limits = new ArrayList<>();
        List<List<String>> views = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            TargetRateLimit own = new TargetRateLimit(time);
            own.recordAnswer(OptionalDouble.of(limit));
            limits.add(own);
            views.add(gateways);
        }
        List<Long> sends = new ArrayList<>();
        for (int step = 0; step < STEPS; step++) {
            time.advance(STEP);
            int changed = random.nextInt(count);
            if (random.nextInt(100) == 0) {
                List<String> view = new ArrayList<>(gateways);
                view.remove(random.nextInt(count));
                views.set(changed, view);
            }
            double demand = (step / 100) % 3 == 0 ? 0.9 : 0.05;
            for (int i = 0; i < count; i++) {
                String name = gateways.get(i);
                List<String> peers =
                        views.get(i).stream().filter(peer -> !peer.equals(name)).toList();
                TargetRateShare share = TargetRateShare.of(limit, "target@1", name, peers, count);
                if (random.nextDouble() < demand
                        && limits.get(i).waitTime(share).isZero()) {
                    limits.get(i).recordSend();
                    sends.add(time.nanoTime());
                }
            }
        }
        double allowed = FACTOR * limit * WINDOW.toSeconds() + SLACK;
        for (int i = 0; i + (int) allowed < sends.size(); i++) {
            long span = sends.get(i + (int) allowed) - sends.get(i);
            assertThat(span).as("%s gateways, limit %s", count, limit).isGreaterThan(WINDOW.toNanos());
        }
    }

    @ParameterizedTest
    @CsvSource({"1, 1", "1, 4", "1, 33", "0.5, 33", "20, 33", "20, 4"})
    void limitIsUsedByTheGatewaysThatSend(double limit, int count) {
        List<String> gateways = names(count);
        double sum = gateways.stream()
                .mapToDouble(name -> TargetRateShare.of(
                                limit,
                                "target@1",
                                name,
                                gateways.stream()
                                        .filter(peer -> !peer.equals(name))
                                        .toList(),
                                count)
                        .perSecond())
                .sum();
        assertThat(sum).isBetween(limit * 0.999, limit * 1.001);
    }

    @Test
    void gatewayThatJustLearnedTheLimitHasNoToken() {
        TargetRateLimit limit = new TargetRateLimit(time);
        limit.recordAnswer(OptionalDouble.of(2));
        assertThat(limit.waitTime(new TargetRateShare(2))).isPositive();
        time.advance(Duration.ofMillis(501));
        assertThat(limit.waitTime(new TargetRateShare(2))).isZero();
    }

    @Test
    void limitIsLiftedOnlyByTwoAnswersInARowWithoutIt() {
        TargetRateLimit limit = new TargetRateLimit(time);
        assertThat(limit.recordAnswer(OptionalDouble.of(1))).isTrue();
        assertThat(limit.recordAnswer(OptionalDouble.empty())).isFalse();
        assertThat(limit.recordAnswer(OptionalDouble.of(1))).isFalse();
        assertThat(limit.recordAnswer(OptionalDouble.empty())).isFalse();
        assertThat(limit.recordAnswer(OptionalDouble.empty())).isTrue();
        assertThat(limit.limited()).isFalse();
        assertThat(limit.waitTime(TargetRateShare.NONE)).isZero();
    }

    @Test
    void olderObservationOfAPeerIsIgnored() {
        TargetRateLimit limit = new TargetRateLimit(time);
        time.advance(Duration.ofSeconds(2));
        limit.recordAnswer(OptionalDouble.of(1));
        assertThat(limit.recordPeer(0, time.nanoTime() - 1)).isFalse();
        assertThat(limit.recordPeer(0, time.nanoTime() + 1)).isTrue();
        assertThat(limit.limited()).isFalse();
    }

    @ParameterizedTest
    @ValueSource(doubles = {0, 0.000_001})
    void targetThatNamesZeroIsStillAskedNowAndThen(double named) {
        TargetRateLimit limit = new TargetRateLimit(time);
        limit.recordAnswer(OptionalDouble.of(named));
        TargetRateShare share = TargetRateShare.of(limit.limit(), "target@1", "g", List.of(), 1);
        assertThat(limit.waitTime(share)).isPositive();
        time.advance(Duration.ofSeconds(11));
        assertThat(limit.waitTime(share)).isZero();
    }
}
