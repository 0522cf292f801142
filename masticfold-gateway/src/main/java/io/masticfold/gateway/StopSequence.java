package io.masticfold.gateway;

import io.masticfold.core.shutdown.GracefulShutdown;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.http.HttpServer;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.request.ForwardHandler;
import java.time.Duration;

/** Carries out the steps of a graceful shutdown at their times. Used on the event loop only. */
final class StopSequence {

    /**
     * Time after the stop request by which callers know of it, as the platform asks for readiness twice in three
     * seconds, less the time of a request on its way. What comes later must end before the exit in any case.
     */
    private static final Duration ANNOUNCED_AFTER = Duration.ofMillis(2800);

    /** Time after the stop request during which callers that have not noticed it may still open connections. */
    private static final Duration STOP_ACCEPTING_AFTER = Duration.ofMillis(3200);

    /** Time before the kill at which requests that have not been sent to a target are refused. */
    private static final Duration REFUSE_UNSENT_BEFORE_KILL = Duration.ofMillis(2000);

    /** Time before the kill at which the process exits, even with open requests. */
    private static final Duration EXIT_BEFORE_KILL = Duration.ofMillis(250);

    /** Time after a response within which the caller's next request may arrive on the same connection. */
    private static final Duration NEXT_REQUEST_WINDOW = Duration.ofMillis(500);

    /** Interval at which a stopping gateway checks whether all requests are complete, and time for last responses. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

    private final Scheduler scheduler;
    private final GracefulShutdown shutdown;
    private final HttpServer front;
    private final ForwardHandler requests;
    private final Runnable drainStages;
    private final Runnable onStopped;
    private final RateLimitedLog log;
    private long lastBusyNanos;
    private boolean finished;

    /**
     * Creates the sequence.
     *
     * @param drainStages refuses what waits for stages and gives the queues of stage servers to other gateways
     * @param onStopped called when the process may exit
     */
    StopSequence(
            Scheduler scheduler,
            GracefulShutdown shutdown,
            HttpServer front,
            ForwardHandler requests,
            Runnable drainStages,
            Runnable onStopped,
            RateLimitedLog log) {
        this.scheduler = scheduler;
        this.shutdown = shutdown;
        this.front = front;
        this.requests = requests;
        this.drainStages = drainStages;
        this.onStopped = onStopped;
        this.log = log;
    }

    /**
     * Begins the shutdown.
     *
     * @param grace time until the process is killed
     */
    void begin(Duration grace) {
        Duration untilExit = notNegative(grace.minus(EXIT_BEFORE_KILL));
        shutdown.begin(ANNOUNCED_AFTER, untilExit);
        log.important(GatewayEvent.STOPPING)
                .addKeyValue("connections", front.connections())
                .log();
        front.drain();
        drainStages.run();
        scheduler.schedule(STOP_ACCEPTING_AFTER, () -> {
            front.stopAccepting();
            lastBusyNanos = scheduler.nanoTime();
            awaitIdle();
        });
        scheduler.schedule(notNegative(grace.minus(REFUSE_UNSENT_BEFORE_KILL)), requests::refuseUnsent);
        scheduler.schedule(untilExit, this::finish);
    }

    private static Duration notNegative(Duration duration) {
        return duration.isNegative() ? Duration.ZERO : duration;
    }

    private void awaitIdle() {
        front.closeIdleFor(NEXT_REQUEST_WINDOW);
        if (!front.idle()) {
            lastBusyNanos = scheduler.nanoTime();
        }
        if (front.connections() == 0 || scheduler.nanoTime() - lastBusyNanos >= NEXT_REQUEST_WINDOW.toNanos()) {
            finish();
        } else {
            scheduler.schedule(CHECK_INTERVAL, this::awaitIdle);
        }
    }

    private void finish() {
        if (finished) {
            return;
        }
        finished = true;
        shutdown.exit();
        log.important(GatewayEvent.STOPPED)
                .addKeyValue("connections", front.connections())
                .addKeyValue("idle", front.idle())
                .log();
        requests.endAll();
        front.closeIdleFor(Duration.ZERO);
        scheduler.schedule(CHECK_INTERVAL, onStopped);
    }
}
