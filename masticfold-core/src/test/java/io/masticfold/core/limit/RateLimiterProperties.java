package io.masticfold.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import net.jqwik.api.constraints.Size;

/** Guards against a limiter that grants more permits than its rate and burst allow. */
@Tag("property")
class RateLimiterProperties {

    @Property(seed = "21")
    void neverGrantsMoreThanRateTimesTimePlusBurst(
            @ForAll @DoubleRange(min = 1, max = 1_000) double perSecond,
            @ForAll @IntRange(min = 1, max = 50) int burst,
            @ForAll @Size(max = 200) List<@LongRange(min = 0, max = 20_000_000) Long> gapsNanos) {
        ManualScheduler time = new ManualScheduler();
        RateLimiter limiter = new RateLimiter(time, perSecond, burst);
        long taken = 0;
        for (long gap : gapsNanos) {
            time.advance(Duration.ofNanos(gap));
            taken += limiter.tryAcquire() == 0 ? 1 : 0;
            assertThat((double) taken)
                    .isLessThanOrEqualTo(perSecond * time.nanoTime() / 1e9 + burst + 1e-6 * taken + 1);
        }
    }

    @Property(seed = "22")
    void aPermitIsAvailableAfterTheReturnedWait(@ForAll @DoubleRange(min = 1, max = 1_000) double perSecond) {
        ManualScheduler time = new ManualScheduler();
        RateLimiter limiter = new RateLimiter(time, perSecond, 1);
        limiter.tryAcquire();
        long wait = limiter.tryAcquire();

        time.advance(Duration.ofNanos(wait));

        assertThat(limiter.tryAcquire()).isZero();
    }
}
