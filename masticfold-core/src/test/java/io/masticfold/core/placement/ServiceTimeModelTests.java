package io.masticfold.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against predictions from too few answers, or from tokens where time does not depend on them. */
final class ServiceTimeModelTests {

    private final ServiceTimeModel model = new ServiceTimeModel();

    @Test
    void predictsNothingBeforeThereAreEnoughAnswers() {
        for (int answer = 0; answer < 4; answer++) {
            model.record(0, 80);
        }
        assertThat(model.known()).isFalse();

        model.record(0, 80);
        assertThat(model.known()).isTrue();
        assertThat(model.millis(0)).isCloseTo(80, within(1e-6));
    }

    @Test
    void separatesTheConstantFromTheTimePerToken() {
        Random random = new Random(3);
        for (int answer = 0; answer < 500; answer++) {
            int tokens = random.nextInt(20_000);
            model.record(tokens, 90 + tokens / 61.0 + random.nextGaussian() * 20);
        }

        assertThat(model.millis(0)).isCloseTo(90, within(15.0));
        assertThat(model.millis(15_000)).isCloseTo(336, within(25.0));
    }

    @Test
    void timeThatFallsWithTokensIsTakenForConstant() {
        for (int answer = 0; answer < 50; answer++) {
            model.record(1_000 * (answer % 5), 500 - 50 * (answer % 5));
        }

        assertThat(model.millisPerToken()).isZero();
        assertThat(model.millis(50_000)).isCloseTo(400, within(10.0));
    }
}
