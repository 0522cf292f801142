package io.masticfold.gateway.store;

import io.masticfold.core.time.PauseGuard;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimerGrid;
import io.masticfold.gateway.log.EventLoopMonitor;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import java.time.Duration;

/**
 * Reads the state of the platform again after this process was paused. Until then targets may have left, zones may have
 * been taken out of service and keys may have been revoked without this gateway knowing. If the store does not answer,
 * the gateway goes on with what it knows, as in any outage of the store. Not thread-safe.
 */
public final class PauseRecovery {

    /**
     * Longest delay of the event loop that is not a pause: with the time between two watches of the targets, changes
     * still take effect within two seconds.
     */
    public static final Duration MAX_DELAY = Duration.ofSeconds(1);

    private static final Duration CHECK_INTERVAL = MAX_DELAY.dividedBy(4);

    private final PauseGuard guard;
    private final PlatformWatcher watcher;
    private final Scheduler scheduler;
    private final EventLoopMonitor loop;
    private final RateLimitedLog log;
    private int round;
    private int pending;

    /**
     * Creates the recovery for the watchers of all kinds.
     *
     * @param loop tells what the process did while it made no decisions
     */
    public PauseRecovery(
            PauseGuard guard, PlatformWatcher watcher, Scheduler scheduler, EventLoopMonitor loop, RateLimitedLog log) {
        this.guard = guard;
        this.watcher = watcher;
        this.scheduler = scheduler;
        this.loop = loop;
        this.log = log;
    }

    /** Starts to detect pauses. A loop that is busy for so long leaves changes of the state unread as a stop does. */
    public void start() {
        loop.start();
        guard.start(this::paused);
        check();
    }

    private void check() {
        guard.passes();
        scheduler.schedule(TimerGrid.delay(scheduler, CHECK_INTERVAL), this::check);
    }

    private void paused(Duration length) {
        if (!watcher.complete()) {
            // The first lists are still being read.
            guard.confirm();
            return;
        }
        EventLoopMonitor.Activity activity = loop.sinceLastTick();
        log.important(GatewayEvent.PROCESS_PAUSED)
                .addKeyValue("millis", length.toMillis())
                .addKeyValue("processorMillis", activity.processorMillis())
                .addKeyValue("collectionMillis", activity.collectionMillis())
                .log();
        round++;
        int current = round;
        pending = watcher.watchers().size();
        watcher.watchers().forEach(kind -> kind.reread(() -> ended(current)));
    }

    private void ended(int ofRound) {
        if (ofRound == round) {
            pending--;
            if (pending == 0) {
                guard.confirm();
            }
        }
    }
}
