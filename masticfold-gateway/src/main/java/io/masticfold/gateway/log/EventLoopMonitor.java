package io.masticfold.gateway.log;

import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimerGrid;
import java.lang.management.GarbageCollectorMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;

/**
 * Measures by how much tasks of the event loop are late, and what the process did meanwhile: a loop that was busy used
 * processor time, a collection of garbage is counted by the JVM, and a process that was stopped has neither. Used on
 * the event loop only.
 */
public final class EventLoopMonitor {

    /** Interval of the measurements; a delay that is shorter may be missed. */
    private static final Duration INTERVAL = Duration.ofMillis(100);

    private static final double MILLIS_PER_SECOND = 1000;

    private final Scheduler scheduler;
    private final GatewayMetrics metrics;
    private volatile Activity lastTick = new Activity(0, 0);
    private long dueNanos;
    private Duration delay = Duration.ZERO;
    private boolean started;

    /** Creates a monitor that does nothing until it is started. */
    public EventLoopMonitor(Scheduler scheduler, GatewayMetrics metrics) {
        this.scheduler = scheduler;
        this.metrics = metrics;
    }

    /** Starts to measure. */
    public void start() {
        started = true;
        metrics.counter(
                "masticfold.event.loop.cpu.seconds",
                this,
                monitor -> monitor.lastTick.processorMillis() / MILLIS_PER_SECOND);
        measure();
    }

    private void measure() {
        lastTick = total();
        Duration next = TimerGrid.delay(scheduler, INTERVAL);
        dueNanos = scheduler.nanoTime() + next.toNanos();
        scheduler.schedule(next, this::tick);
    }

    private void tick() {
        long lateNanos = Math.max(0, scheduler.nanoTime() - dueNanos);
        delay = Duration.ofNanos(lateNanos);
        metrics.loopDelay(lateNanos);
        measure();
    }

    /** Returns by how much tasks are late, at the last measurement or by now if the next one is overdue. */
    public Duration delay() {
        long overdueNanos = started ? scheduler.nanoTime() - dueNanos : 0;
        return delay.toNanos() >= overdueNanos ? delay : Duration.ofNanos(overdueNanos);
    }

    /** Returns what the process has done since the last measurement, at most {@code INTERVAL} before a delay began. */
    public Activity sinceLastTick() {
        return total().minus(lastTick);
    }

    private static Activity total() {
        long collections = ManagementFactory.getGarbageCollectorMXBeans().stream()
                .mapToLong(GarbageCollectorMXBean::getCollectionTime)
                .sum();
        return new Activity(
                Duration.ofNanos(ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime())
                        .toMillis(),
                collections);
    }

    /**
     * What the process did in a span of time.
     *
     * @param processorMillis processor time of the event loop's thread, in milliseconds
     * @param collectionMillis time of garbage collections, in milliseconds
     */
    public record Activity(long processorMillis, long collectionMillis) {

        private Activity minus(Activity earlier) {
            return new Activity(processorMillis - earlier.processorMillis, collectionMillis - earlier.collectionMillis);
        }
    }
}
