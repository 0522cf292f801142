package io.masticfold.core.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the deterministic order of tasks in virtual time, on which the property-based tests rely. */
final class ManualSchedulerTests {

    private final ManualScheduler scheduler = new ManualScheduler();
    private final List<String> runs = new ArrayList<>();

    @Test
    void runsByTimeThenInsertionIncludingTasksScheduledByTasks() {
        scheduler.schedule(Duration.ofMillis(2), () -> runs.add("late"));
        scheduler.schedule(Duration.ofMillis(1), () -> {
            runs.add("first");
            scheduler.schedule(Duration.ofMillis(1), () -> runs.add("nested"));
        });
        scheduler.schedule(Duration.ofMillis(1), () -> runs.add("second"));
        scheduler.schedule(Duration.ofMillis(9), () -> runs.add("never"));

        scheduler.advance(Duration.ofMillis(3));

        assertThat(runs).containsExactly("first", "second", "late", "nested");
        assertThat(scheduler.pending()).isEqualTo(1);
        assertThat(scheduler.nanoTime()).isEqualTo(3_000_000);
    }

    @Test
    void neverRunsInsideTheSchedulingCallNorAfterCancel() {
        Cancellable cancelled = scheduler.schedule(Duration.ZERO, () -> runs.add("cancelled"));
        scheduler.schedule(Duration.ZERO, () -> runs.add("due"));
        cancelled.cancel();
        assertThat(runs).isEmpty();

        scheduler.runDue();

        assertThat(runs).containsExactly("due");
    }
}
