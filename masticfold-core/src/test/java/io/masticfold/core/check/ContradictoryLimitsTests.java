package io.masticfold.core.check;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.forward.RequestKind;
import io.masticfold.core.forward.RequestLimits;
import io.masticfold.core.forward.StageSpec;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against limits that contradict each other and are not reported, and against reports on a sound one. */
final class ContradictoryLimitsTests {

    private final ConfigBuilder config = ConfigBuilder.sound();

    private void assertOneFinding(Optional<Map<String, PoolServers>> servers, ConfigProperty property, String text) {
        assertThat(ContradictoryLimits.find(config.build(), servers))
                .singleElement()
                .satisfies(finding -> {
                    assertThat(finding.property()).isEqualTo(property);
                    assertThat(finding.message()).contains(text);
                });
    }

    private void replaceRoute(
            RequestKind kind, int timeoutMillis, int objectiveMillis, int attempts, StageSpec... stages) {
        config.routes.set(
                0, ConfigBuilder.route("r", "/r/", kind, timeoutMillis, objectiveMillis, attempts, 1, List.of(stages)));
    }

    @Test
    void aSoundConfigurationHasNoFindings() {
        Map<String, PoolServers> servers = Map.of("p", new PoolServers(2, true), "s", new PoolServers(1, true));

        assertThat(ContradictoryLimits.find(config.build(), Optional.of(servers)))
                .isEmpty();
        assertThat(ContradictoryLimits.find(config.build(), Optional.empty())).isEmpty();
    }

    @Test
    void anObjectiveAboveTheTimeoutIsReported() {
        replaceRoute(RequestKind.SAFE, 1000, 1001, 1);

        assertOneFinding(Optional.empty(), ConfigProperty.LATENCY_OBJECTIVE, "above its timeout");
    }

    /** Of the paths 0-1-3 and 0-2-3 with 100 ms for each stage, both take 300 ms. */
    @Test
    void aTimeoutBelowTheLongestPathOfStagesIsReported() {
        StageSpec[] stages = {
            ConfigBuilder.stage(), ConfigBuilder.stage(0), ConfigBuilder.stage(0), ConfigBuilder.stage(1, 2)
        };
        replaceRoute(RequestKind.SAFE, 300, 100, 1, stages);
        assertThat(ContradictoryLimits.find(config.build(), Optional.empty())).isEmpty();

        replaceRoute(RequestKind.SAFE, 299, 100, 1, stages);

        assertOneFinding(Optional.empty(), ConfigProperty.TIMEOUT, "300 ms");
    }

    @Test
    void moreAttemptsThanServersAreReported() {
        assertOneFinding(
                Optional.of(Map.of("p", new PoolServers(1, false))), ConfigProperty.MAX_ATTEMPTS, "has 1 server,");
    }

    @Test
    void attemptsOfARouteThatMayNotBeRepeatedAreReported() {
        replaceRoute(RequestKind.STREAM, 2000, 1000, 2);

        assertOneFinding(Optional.empty(), ConfigProperty.MAX_ATTEMPTS, "may not be repeated");
    }

    @Test
    void aResultAboveTheStorageOfItsServersIsReported() {
        replaceRoute(RequestKind.SAFE, 2000, 1000, 1, new StageSpec("s", List.of(), 10_001));

        assertOneFinding(Optional.empty(), ConfigProperty.STAGES, "10001 bytes");
    }

    /** The head has 25 bytes around prefix (3), host (9) and key (2). */
    @Test
    void aHeaderLimitBelowTheShortestHeadIsReported() {
        config.limits = new RequestLimits(39, 1, Duration.ofSeconds(1), Duration.ofSeconds(1));
        assertThat(ContradictoryLimits.find(config.build(), Optional.empty())).isEmpty();

        config.limits = new RequestLimits(38, 1, Duration.ofSeconds(1), Duration.ofSeconds(1));

        assertOneFinding(Optional.empty(), ConfigProperty.MAX_HEADER_BYTES, "every request of route r is refused");
    }

    @Test
    void serversThatStartColdWithoutARateAreReported() {
        config.pools.set(0, ConfigBuilder.pool("p", 0));

        assertOneFinding(Optional.of(Map.of("p", new PoolServers(2, true))), ConfigProperty.COLD_RATE, "start cold");
        assertThat(ContradictoryLimits.find(config.build(), Optional.of(Map.of("p", new PoolServers(2, false)))))
                .isEmpty();
    }
}
