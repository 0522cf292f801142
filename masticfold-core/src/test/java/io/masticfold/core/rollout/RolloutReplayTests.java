package io.masticfold.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Replays orders without a network for a version that is bad only once it gets all requests, at two gateways that tell
 * each other their counts every 200 ms. Guards against a move that exceeds the limit of all gateways before the verdict.
 * The rates and shares for which the limit is exceeded are listed in {@code docs/design/roll-outs.md}.
 */
final class RolloutReplayTests {

    private static final RolloutSettings SETTINGS = new RolloutSettings(0.1, 50, Duration.ofSeconds(5));
    private static final double DURATION = 12;
    private static final double LATENCY = 0.2;
    private static final double INTERVAL = 0.2;
    private static final double OLD_BAD_SHARE = 0.01;

    /** Time after which nothing runs at the old version any more. */
    private static final double MOVED = RolloutPolicy.MOVE_FRACTION * DURATION + 2;

    @ParameterizedTest
    @CsvSource({"10, 0.3", "10, 1", "100, 1", "1000, 0.1", "1000, 0.3", "1000, 1"})
    void versionThatIsBadUnderFullLoadStaysWithinTheLimitUnlessItIsCompleted(int rate, double badShare) {
        int requests = (int) (rate * DURATION);
        for (int seed = 0; seed < 20; seed++) {
            Replay replay = new Replay(new Random(seed), rate, badShare);
            replay.run(requests);

            if (!replay.completed()) {
                assertThat((double) replay.exposed)
                        .as("requests of the new version in run %s", seed)
                        .isLessThanOrEqualTo(SETTINGS.exposeShare() * requests + SETTINGS.exposeSlack());
            }
        }
    }

    /** One order, from its beginning to its deadline. */
    private static final class Replay {

        private final Random random;
        private final int rate;
        private final double badShare;
        private final List<Gateway> gateways = List.of(new Gateway(), new Gateway());
        private final Queue<Sent> inFlight = new ArrayDeque<>();
        private int exposed;

        Replay(Random random, int rate, double badShare) {
            this.random = random;
            this.rate = rate;
            this.badShare = badShare;
        }

        void run(int requests) {
            double nextExamination = INTERVAL;
            for (int request = 0; request < requests; request++) {
                double now = (double) request / rate;
                while (!inFlight.isEmpty() && inFlight.peek().endsAt() <= now) {
                    Sent sent = inFlight.remove();
                    sent.gateway().ended(sent, peer(sent.gateway()));
                }
                for (; nextExamination <= now; nextExamination += INTERVAL) {
                    double examined = nextExamination;
                    gateways.forEach(gateway -> gateway.examine(examined, peer(gateway)));
                    gateways.forEach(Gateway::tell);
                }
                send(now, gateways.get(random.nextInt(gateways.size())));
            }
        }

        private void send(double now, Gateway gateway) {
            boolean fullLoad = gateway.step == RolloutStep.MOVE || gateway.step == RolloutStep.COMPLETE;
            boolean toNew = fullLoad || (gateway.step == RolloutStep.EXPOSE && gateway.limit.permits(gateways.size()));
            gateway.limit.record(toNew);
            exposed += toNew ? 1 : 0;
            boolean bad = random.nextDouble() < (toNew && fullLoad ? badShare : OLD_BAD_SHARE);
            inFlight.add(new Sent(now + LATENCY, gateway, toNew, bad));
        }

        private Gateway peer(Gateway gateway) {
            return gateways.get(1 - gateways.indexOf(gateway));
        }

        boolean completed() {
            return gateways.stream().allMatch(gateway -> gateway.step == RolloutStep.COMPLETE);
        }
    }

    private static final class Gateway {

        private final ExposureLimit limit = new ExposureLimit(SETTINGS, true);
        private RolloutStep step = RolloutStep.EXPOSE;
        private VersionCounts fresh = VersionCounts.NONE;
        private VersionCounts old = VersionCounts.NONE;
        private VersionCounts toldFresh = VersionCounts.NONE;
        private VersionCounts toldOld = VersionCounts.NONE;

        void ended(Sent sent, Gateway peer) {
            VersionCounts one = new VersionCounts(1, sent.bad() ? 0 : 1, sent.bad() ? 1 : 0, 0);
            if (!sent.toNew()) {
                old = old.plus(one);
                return;
            }
            fresh = fresh.plus(one);
            boolean sends = step == RolloutStep.EXPOSE || step == RolloutStep.MOVE;
            if (sends && RolloutPolicy.hasReachedMaxBad(Map.of("r", fresh.plus(peer.toldFresh)))) {
                step = RolloutStep.STOP;
            }
        }

        void examine(double now, Gateway peer) {
            RolloutStep next = RolloutPolicy.decide(
                    Duration.ofMillis((long) (now * 1000)),
                    Duration.ofMillis((long) (DURATION * 1000)),
                    Map.of("r", fresh.plus(peer.toldFresh)),
                    Map.of("r", old.plus(peer.toldOld)),
                    now > MOVED);
            boolean ended =
                    step == RolloutStep.ROLL_BACK || (step == RolloutStep.COMPLETE && next != RolloutStep.ROLL_BACK);
            step = ended ? step : next;
        }

        void tell() {
            toldFresh = fresh;
            toldOld = old;
        }
    }

    private record Sent(double endsAt, Gateway gateway, boolean toNew, boolean bad) {}
}
