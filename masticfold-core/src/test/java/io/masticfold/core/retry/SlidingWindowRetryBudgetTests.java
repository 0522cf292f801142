package io.masticfold.core.retry;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Guards against retries that exceed their share in any window, summed over gateways with different views. */
final class SlidingWindowRetryBudgetTests {

    private static final Duration WINDOW = Duration.ofSeconds(10);

    @Test
    void theAllowanceIsGrantedOncePerWindow() {
        ManualScheduler time = new ManualScheduler();
        SlidingWindowRetryBudget budget = new SlidingWindowRetryBudget(time, WINDOW, 0.2, () -> 10);

        assertThat(withdraw(budget, 20)).isEqualTo(9);
        time.advance(WINDOW.minusMillis(1));
        assertThat(withdraw(budget, 20)).isZero();
        time.advance(Duration.ofMillis(2));
        assertThat(withdraw(budget, 20)).isEqualTo(9);
    }

    @Property(seed = "7", tries = 60)
    @Tag("property")
    void noWindowHoldsMoreThanItsShare(@ForAll long seed, @ForAll @IntRange(min = 1, max = 6) int gateways) {
        Random random = new Random(seed);
        ManualScheduler time = new ManualScheduler();
        List<SlidingWindowRetryBudget> budgets = new ArrayList<>();
        for (int i = 0; i < gateways; i++) {
            budgets.add(new SlidingWindowRetryBudget(time, WINDOW, 0.2, () -> 54.0 / gateways));
        }
        List<Long> firstSends = new ArrayList<>();
        List<Long> retries = new ArrayList<>();
        for (int step = 0; step < 3000; step++) {
            time.advance(Duration.ofMillis(random.nextInt(20)));
            SlidingWindowRetryBudget budget = budgets.get(random.nextInt(gateways));
            if (random.nextInt(3) == 0) {
                budget.deposit();
                firstSends.add(time.nanoTime());
            } else if (budget.tryWithdraw()) {
                retries.add(time.nanoTime());
            }
        }
        for (long end : retries) {
            assertThat((double) inWindow(retries, end)).isLessThanOrEqualTo(0.2 * mostFirstSends(firstSends, end) + 54);
        }
    }

    /** Counts first sends as the users' limit does: the most in this window, half a window earlier or one earlier. */
    private static long mostFirstSends(List<Long> firstSends, long end) {
        long half = WINDOW.toNanos() / 2;
        return Math.max(
                inWindow(firstSends, end),
                Math.max(inWindow(firstSends, end - half), inWindow(firstSends, end - 2 * half)));
    }

    private static long inWindow(List<Long> times, long end) {
        return times.stream()
                .filter(time -> time <= end && end - time <= WINDOW.toNanos())
                .count();
    }

    private static int withdraw(RetryBudget budget, int tries) {
        int granted = 0;
        for (int i = 0; i < tries; i++) {
            granted += budget.tryWithdraw() ? 1 : 0;
        }
        return granted;
    }
}
