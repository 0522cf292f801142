package io.masticfold.agent;

import io.activej.eventloop.Eventloop;
import java.time.Duration;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the event loop of the agent on a thread of its own. */
final class AgentLoop {

    private static final Logger LOGGER = LoggerFactory.getLogger(AgentLoop.class);
    private static final Duration TASK_TIMEOUT = Duration.ofSeconds(5);

    private final Eventloop eventloop;
    private final Thread thread;

    AgentLoop(String name) {
        // A fault of one task must not end the loop, which serves all attempts.
        this.eventloop = Eventloop.builder()
                .withThreadName(name)
                .withFatalErrorHandler((failure, context) -> AgentEvent.LOOP_TASK_FAILED.log(LOGGER, context, failure))
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
     * Runs a task on the loop and waits for it.
     *
     * @throws ExecutionException if the task fails
     */
    void run(LoopTask task) throws ExecutionException {
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
