package io.masticfold.core.shed;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against shedding that drops valuable requests first, drops everything, or never recovers. */
class PoolShedderTests {

    private static final double VALUABLE = 8;
    private static final double CHEAP = 1;

    private final ManualScheduler time = new ManualScheduler();
    private final PoolShedder shedder = new PoolShedder(ShedSettings.DEFAULT, time, new Random(7));

    @ParameterizedTest
    @ValueSource(ints = {2, 5, 10})
    void anOverloadedPoolServesTheMostValuableRequests(int overload) {
        int capacity = 20;
        run(50, overload * capacity, capacity);
        Served served = run(20, overload * capacity, capacity);

        double best = 20 * Math.min(capacity, overload * capacity / 2) * VALUABLE
                + 20 * Math.max(0, capacity - overload * capacity / 2) * CHEAP;
        assertThat(served.worth).isGreaterThanOrEqualTo(0.9 * best);
    }

    @Test
    void admitsAllAgainAfterTheOverload() {
        run(50, 100, 20);
        run(60, 10, 20);

        assertThat(shedder.admittedShare()).isEqualTo(1);
    }

    @Test
    void withoutOverloadNothingIsShed() {
        Served served = run(50, 10, 20);

        assertThat(served.shed).isZero();
    }

    /** Offers as many valuable as cheap requests per window to a pool that serves the first ones up to its capacity. */
    private Served run(int windows, int offeredPerWindow, int capacityPerWindow) {
        Served served = new Served();
        for (int window = 0; window < windows; window++) {
            int admitted = 0;
            for (int i = 0; i < offeredPerWindow; i++) {
                double worth = i % 2 == 0 ? VALUABLE : CHEAP;
                if (!shedder.admit(worth, 1)) {
                    served.shed++;
                    continue;
                }
                admitted++;
                boolean overloaded = admitted > capacityPerWindow;
                served.worth += overloaded ? 0 : worth;
                shedder.attemptEnded(overloaded, Math.min(1, admitted / (double) capacityPerWindow));
            }
            time.advance(Duration.ofMillis(ShedSettings.DEFAULT.windowMillis()));
        }
        return served;
    }

    private static final class Served {
        private double worth;
        private int shed;
    }
}
