package io.masticfold.platform.http;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Tracks one call until its result is known. Used on the event loop only. */
final class Exchange {

    private final Consumer<HttpResult> reply;
    private @Nullable ScheduledRunnable timeout;
    private boolean connectFailed;
    private boolean ended;

    Exchange(Consumer<HttpResult> reply) {
        this.reply = reply;
    }

    /** Ends the call as lost after a time: the request may have been written, or may still be written later. */
    void timeOutAfter(Eventloop eventloop, Duration delay) {
        timeout = eventloop.delay(delay, () -> end(new HttpResult.Lost("no answer in " + delay.toMillis() + " ms")));
    }

    /** Notes that no connection came about, so no byte left. */
    void connectFailed() {
        connectFailed = true;
    }

    /** Classifies a failure. */
    HttpResult failed(Exception failure) {
        String reason = failure.getClass().getSimpleName() + ": " + failure.getMessage();
        return connectFailed ? new HttpResult.NotSent(reason) : new HttpResult.Lost(reason);
    }

    /** Passes the result on unless the call has ended before. */
    void end(HttpResult result) {
        if (ended) {
            return;
        }
        ended = true;
        if (timeout != null) {
            timeout.cancel();
        }
        reply.accept(result);
    }
}
