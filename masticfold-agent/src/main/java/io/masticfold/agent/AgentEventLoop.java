package io.masticfold.agent;

import io.activej.eventloop.Eventloop;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the agent's event loop on a dedicated daemon thread. */
final class AgentEventLoop {

    private static final Logger LOGGER = LoggerFactory.getLogger(AgentEventLoop.class);
    private static final Duration TASK_TIMEOUT = Duration.ofSeconds(5);

    private final Eventloop eventloop;
    private final Thread thread;

    AgentEventLoop(String name) {
        // An uncaught exception in one task must not terminate the loop, which serves all attempts.
        this.eventloop = Eventloop.builder()
                .withThreadName(name)
                .withFatalErrorHandler(
                        (failure, context) -> AgentEvent.EVENT_LOOP_TASK_FAILED.log(LOGGER, context, failure))
                .build();
        this.thread = new Thread(eventloop, name);
        this.thread.setDaemon(true);
    }

    Eventloop eventloop() {
        return eventloop;
    }

    void start() {
        eventloop.keepAlive(true);
        thread.start();
    }

    /**
     * Runs a task on the event loop and waits up to {@link #TASK_TIMEOUT} for it to complete.
     *
     * @throws ExecutionException if the task fails or does not complete in time, or if the wait is interrupted
     */
    void runAndWait(EventLoopTask task) throws ExecutionException {
        try {
            eventloop.submit(task::run).get(TASK_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ExecutionException("interrupted", e);
        } catch (TimeoutException e) {
            throw new ExecutionException("the event loop does not respond", e);
        }
    }

    void stop() {
        eventloop.keepAlive(false);
        eventloop.execute(eventloop::breakEventloop);
        try {
            thread.join(TASK_TIMEOUT.toMillis());
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }
}
