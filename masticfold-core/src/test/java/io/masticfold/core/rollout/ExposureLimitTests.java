package io.masticfold.core.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against a version that gets more requests from all gateways together than operators allow. */
final class ExposureLimitTests {

    private static final RolloutSettings SETTINGS = new RolloutSettings(0.1, 50, Duration.ofSeconds(5));

    /** Load: 23 gateways with uneven traffic that do not hear each other, each eager to use the new version. */
    @Test
    void sumOfAllGatewaysKeepsToTheLimit() {
        Random random = new Random(5);
        List<ExposureLimit> gateways = new ArrayList<>();
        for (int gateway = 0; gateway < 23; gateway++) {
            gateways.add(new ExposureLimit(SETTINGS, true));
        }
        int exposed = 0;
        for (int request = 1; request <= 3_000; request++) {
            double draw = random.nextDouble();
            ExposureLimit limit = gateways.get((int) (draw * draw * gateways.size()));
            boolean toNew = limit.permits(gateways.size());
            limit.record(toNew);
            exposed += toNew ? 1 : 0;
            assertThat((double) exposed).isLessThanOrEqualTo(0.1 * request + 50);
        }
        assertThat(exposed).isGreaterThan(200);
    }

    /** Without requests at the old version, the first responses of the new one could not be judged. */
    @Test
    void oldVersionGetsRequestsFromTheBeginning() {
        ExposureLimit limit = new ExposureLimit(SETTINGS, true);
        int exposed = 0;
        for (int request = 0; request < 40; request++) {
            boolean toNew = limit.permits(1);
            limit.record(toNew);
            exposed += toNew ? 1 : 0;
        }

        assertThat(exposed).isEqualTo(10);
    }

    @Test
    void gatewayThatSeesTheOrderLateUsesNoSlack() {
        ExposureLimit limit = new ExposureLimit(SETTINGS, false);

        assertThat(limit.permits(1)).isFalse();
        for (int request = 0; request < 20; request++) {
            limit.record(false);
        }
        assertThat(limit.permits(1)).isTrue();
    }
}
