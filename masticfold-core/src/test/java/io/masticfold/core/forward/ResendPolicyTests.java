package io.masticfold.core.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.error.Ran;
import io.masticfold.core.retry.RetryBudget;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against requests that run twice, and against retries beyond the attempts of the route or the budget. */
final class ResendPolicyTests {

    private static final Duration LONG = Duration.ofSeconds(1);

    private final FixedBudget budget = new FixedBudget();

    private static ForwardRoute route(RequestKind kind, int attempts) {
        return new ForwardRoute(
                "r",
                "h",
                "/",
                kind,
                LONG,
                LONG,
                LONG,
                0,
                attempts,
                List.of(new PoolShare("p", 1)),
                List.of(),
                false,
                false);
    }

    @ParameterizedTest
    @CsvSource({"0, true, true", "3, true, true", "4, true, false", "4, false, true", "40, false, true"})
    void outageOfAPoolDoesNotMakeARequestTryEveryTarget(int unsentSends, boolean recentlyFailed, boolean permitted) {
        assertThat(ResendPolicy.permitTarget(unsentSends, recentlyFailed)).isEqualTo(permitted);
    }

    @ParameterizedTest
    @CsvSource({
        "SAFE, NOT_SENT, true",
        "SAFE, NOT_RUN, true",
        "SAFE, FAILED, true",
        "SAFE, UNKNOWN, true",
        "SAFE, ANSWERED, false",
        "UNSAFE, NOT_SENT, true",
        "UNSAFE, NOT_RUN, true",
        "UNSAFE, FAILED, false",
        "UNSAFE, UNKNOWN, false",
        "STREAM, NOT_RUN, true",
        "STREAM, INPUT_GONE, true",
        "STREAM, UNKNOWN, false",
        "STREAM, FAILED, false",
        "RESUMABLE_STREAM, UNKNOWN, true",
    })
    void onlyRepeatableRequestsAreSentAgainAfterTheyMayHaveRun(RequestKind kind, SendOutcome outcome, boolean resend) {
        int runs = outcome.ran() == Ran.NO ? 0 : 1;

        assertThat(ResendPolicy.permitResend(route(kind, 2), outcome, 1, runs, LONG, budget))
                .isEqualTo(resend);
    }

    @ParameterizedTest
    @EnumSource(
            value = RequestKind.class,
            names = {"SAFE", "RESUMABLE_STREAM"})
    void theAttemptsOfTheRouteAreNotExceeded(RequestKind kind) {
        assertThat(ResendPolicy.permitResend(route(kind, 1), SendOutcome.UNKNOWN, 1, 1, LONG, budget))
                .isFalse();
    }

    @Test
    void aRefusalDoesNotCountAgainstTheAttempts() {
        assertThat(ResendPolicy.permitResend(route(RequestKind.STREAM, 1), SendOutcome.NOT_RUN, 1, 0, LONG, budget))
                .isTrue();
    }

    @Test
    void nothingIsSentAgainWithoutTimeOrBudget() {
        ForwardRoute route = route(RequestKind.SAFE, 2);

        assertThat(ResendPolicy.permitResend(route, SendOutcome.UNKNOWN, 1, 1, Duration.ofMillis(10), budget))
                .isFalse();
        budget.remaining = 0;
        assertThat(ResendPolicy.permitResend(route, SendOutcome.UNKNOWN, 1, 1, LONG, budget))
                .isFalse();
    }

    @Test
    void aRequestThatNeverLeftTheProcessCostsNoBudget() {
        budget.remaining = 0;

        assertThat(ResendPolicy.permitResend(route(RequestKind.UNSAFE, 1), SendOutcome.NOT_SENT, 1, 0, LONG, budget))
                .isTrue();
    }

    /** Grants a fixed number of retries. */
    private static final class FixedBudget implements RetryBudget {

        private int remaining = 10;

        @Override
        public void deposit() {}

        @Override
        public boolean tryWithdraw() {
            return remaining-- > 0;
        }
    }
}
