package io.masticfold.platform.store;

import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/** Delegates to a shared scheduler and defers tasks while the simulated process is paused; the clock keeps running. */
final class PausableScheduler implements Scheduler {

    private final Scheduler shared;
    private final List<Runnable> deferred = new ArrayList<>();
    private boolean paused;

    PausableScheduler(Scheduler shared) {
        this.shared = shared;
    }

    void pause() {
        paused = true;
    }

    void resume() {
        paused = false;
        List<Runnable> tasks = List.copyOf(deferred);
        deferred.clear();
        tasks.forEach(Runnable::run);
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        return shared.schedule(delay, () -> run(task));
    }

    private void run(Runnable task) {
        if (paused) {
            deferred.add(task);
        } else {
            task.run();
        }
    }

    @Override
    public long nanoTime() {
        return shared.nanoTime();
    }

    @Override
    public Instant now() {
        return shared.now();
    }
}
