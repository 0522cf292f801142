package io.masticfold.gateway.stage;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/** Caches the planned backlogs of a pool's servers for a short time. Not thread-safe. */
final class StageBacklogs {

    private static final Duration MAX_AGE = Duration.ofMillis(10);

    private final TimeSource time;
    private @Nullable Map<String, Double> all;
    private @Nullable Map<String, Double> onTimeOnly;
    private long computedNanos;

    StageBacklogs(TimeSource time) {
        this.time = time;
    }

    /** Discards the backlogs because the queue or a server has changed. */
    void invalidate() {
        all = null;
        onTimeOnly = null;
    }

    /**
     * Returns the backlog of each server, in milliseconds.
     *
     * @param onTime whether only pieces of requests that are on time count
     * @param plan computes the backlogs
     */
    Map<String, Double> get(boolean onTime, Supplier<Map<String, Double>> plan) {
        long now = time.nanoTime();
        if (now - computedNanos > MAX_AGE.toNanos()) {
            invalidate();
            computedNanos = now;
        }
        Map<String, Double> cached = onTime ? onTimeOnly : all;
        if (cached != null) {
            return cached;
        }
        Map<String, Double> computed = plan.get();
        if (onTime) {
            onTimeOnly = computed;
        } else {
            all = computed;
        }
        return computed;
    }
}
