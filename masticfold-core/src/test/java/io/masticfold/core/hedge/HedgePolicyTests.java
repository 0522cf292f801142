package io.masticfold.core.hedge;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.retry.SlidingWindowRetryBudget;
import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against second sends that multiply the load, come too late, or go on while the whole pool is slow. */
final class HedgePolicyTests {

    private static final Duration WINDOW = Duration.ofSeconds(10);

    private final ManualScheduler time = new ManualScheduler();
    private final HedgePolicy policy = new HedgePolicy(time, 0.05, WINDOW);
    private RetryBudget retries = new SlidingWindowRetryBudget(time, WINDOW, 0.2, () -> 50);

    @BeforeEach
    void hundredUsualAnswers() {
        for (int request = 0; request < 100; request++) {
            policy.recordSend();
            policy.recordAnswer(Duration.ofMillis(50 + request % 10));
        }
    }

    private static HedgeConditions calm() {
        return conditions(false, false, 1, 2, 2, 300);
    }

    private static HedgeConditions conditions(
            boolean stopping, boolean suspected, int sends, int maxAttempts, int inFlight, int leftMillis) {
        return new HedgeConditions(
                stopping, suspected, sends, maxAttempts, 24, inFlight, Duration.ofMillis(leftMillis));
    }

    @Test
    void delayIsThatOfTheSlowestAnswers() {
        assertThat(policy.delay())
                .hasValueSatisfying(delay -> assertThat(delay).isBetween(Duration.ofMillis(58), Duration.ofMillis(60)));
    }

    @Test
    void nothingIsRepeatedBeforeThereAreEnoughAnswers() {
        HedgePolicy fresh = new HedgePolicy(time, 0.05, WINDOW);
        for (int request = 0; request < 19; request++) {
            fresh.recordSend();
            fresh.recordAnswer(Duration.ofMillis(50));
        }

        assertThat(fresh.delay()).isEmpty();
        assertThat(fresh.permit(calm(), retries)).isFalse();
    }

    @ParameterizedTest
    @CsvSource({
        "false, false, 1, 2, 2, 300, true",
        "true, false, 1, 2, 2, 300, false",
        "false, true, 1, 2, 2, 300, false",
        "false, false, 2, 3, 2, 300, false",
        "false, false, 1, 1, 2, 300, false",
        "false, false, 1, 2, 12, 300, false",
        "false, false, 1, 2, 2, 20, false",
    })
    void conditionsOfTheGatewayTheRequestAndThePoolAreKept(
            boolean stopping,
            boolean suspected,
            int sends,
            int maxAttempts,
            int inFlight,
            int leftMillis,
            boolean permitted) {
        assertThat(policy.permit(conditions(stopping, suspected, sends, maxAttempts, inFlight, leftMillis), retries))
                .isEqualTo(permitted);
    }

    /** Load: a burst of late answers within one window. */
    @Test
    void limitRunsOutInABurst() {
        int permitted = 0;
        for (int request = 0; request < 50; request++) {
            permitted += policy.permit(calm(), retries) ? 1 : 0;
        }

        assertThat(permitted).isEqualTo(5);
        time.advance(WINDOW.plusMillis(1));
        assertThat(policy.permit(calm(), retries)).isFalse();
    }

    @Test
    void exhaustedRetryBudgetEndsSecondSends() {
        retries = new SlidingWindowRetryBudget(time, WINDOW, 0.2, () -> 0);

        assertThat(policy.permit(calm(), retries)).isFalse();
    }

    /** Load: every target of the pool becomes ten times slower. */
    @Test
    void slowPoolGetsFewSecondSends() {
        int due = 0;
        for (int request = 0; request < 400; request++) {
            policy.recordSend();
            Duration took = Duration.ofMillis(500 + request % 100);
            due += policy.delay().filter(delay -> delay.compareTo(took) < 0).isPresent()
                            && policy.permit(calm(), retries)
                    ? 1
                    : 0;
            policy.recordAnswer(took);
            time.advance(Duration.ofMillis(50));
        }

        assertThat(due).isLessThanOrEqualTo((int) (0.05 * (100 + 400)));
    }
}
