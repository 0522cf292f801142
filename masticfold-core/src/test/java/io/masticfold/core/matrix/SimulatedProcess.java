package io.masticfold.core.matrix;

import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.ManualScheduler;
import io.masticfold.core.time.Scheduler;
import java.time.Duration;
import java.time.Instant;

/** Scheduler of one simulated process, which can be frozen and killed; all processes share one virtual clock. */
final class SimulatedProcess implements Scheduler {

    private final ManualScheduler clock;
    private long frozenUntilNanos;
    private boolean dead;

    SimulatedProcess(ManualScheduler clock) {
        this.clock = clock;
    }

    @Override
    public long nanoTime() {
        return clock.nanoTime();
    }

    @Override
    public Instant now() {
        return clock.now();
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        boolean[] cancelled = new boolean[1];
        clock.schedule(delay, () -> run(cancelled, task));
        return () -> cancelled[0] = true;
    }

    private void run(boolean[] cancelled, Runnable task) {
        if (dead || cancelled[0]) {
            return;
        }
        long remainingNanos = frozenUntilNanos - clock.nanoTime();
        if (remainingNanos > 0) {
            clock.schedule(Duration.ofNanos(remainingNanos), () -> run(cancelled, task));
        } else {
            task.run();
        }
    }

    /**
     * Freezes the process inside its current task and advances the clock until it resumes. The other processes run in
     * the meantime.
     */
    void freeze(Duration duration) {
        frozenUntilNanos = Math.max(frozenUntilNanos, clock.nanoTime() + duration.toNanos());
        clock.advance(duration);
    }

    void kill() {
        dead = true;
    }

    boolean dead() {
        return dead;
    }

    boolean frozen() {
        return frozenUntilNanos > clock.nanoTime();
    }

    long frozenUntilNanos() {
        return frozenUntilNanos;
    }
}
