package io.masticfold.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against retries that exceed a tenth of the first attempts. */
final class TokenBucketRetryBudgetTests {

    private static final RetryBudgetSettings SETTINGS = new RetryBudgetSettings(10, Duration.ofSeconds(1));

    private final ManualScheduler time = new ManualScheduler();
    private final TokenBucketRetryBudget budget = new TokenBucketRetryBudget(time, SETTINGS);

    @ParameterizedTest
    @CsvSource({"0, 1", "9, 1", "10, 2", "100, 11", "5000, 11"})
    void grantsATenthUpToTheMaximumBalanceAndOneMore(int firstAttempts, int retries) {
        deposit(firstAttempts);

        assertThat(withdraw(100)).isEqualTo(retries);
    }

    @Test
    void grantsOneRetryPerIntervalFromAnEmptyBucket() {
        assertThat(withdraw(5)).isEqualTo(1);
        time.advance(Duration.ofMillis(999));
        assertThat(withdraw(5)).isZero();
        time.advance(Duration.ofMillis(1));
        assertThat(withdraw(5)).isEqualTo(1);
    }

    /** For any sequence, retries stay within a tenth of the first attempts plus one per started interval. */
    @Property(seed = "20261204", tries = 500)
    @Tag("property")
    void neverExceedsTheBound(@ForAll @Size(max = 200) List<@IntRange(max = 20) Integer> steps) {
        ManualScheduler clock = new ManualScheduler();
        TokenBucketRetryBudget mixed = new TokenBucketRetryBudget(clock, SETTINGS);
        long firstAttempts = 0;
        long retries = 0;
        for (int step : steps) {
            if (step < 10) {
                mixed.deposit();
                firstAttempts++;
            } else {
                retries += mixed.tryWithdraw() ? 1 : 0;
            }
            clock.advance(Duration.ofMillis(step));
        }
        long intervals = clock.nanoTime() / SETTINGS.minimumInterval().toNanos() + 1;
        assertThat(retries).isLessThanOrEqualTo(firstAttempts / 10 + intervals);
    }

    private void deposit(int times) {
        IntStream.range(0, times).forEach(_i -> budget.deposit());
    }

    private long withdraw(int times) {
        return IntStream.range(0, times).filter(_i -> budget.tryWithdraw()).count();
    }
}
