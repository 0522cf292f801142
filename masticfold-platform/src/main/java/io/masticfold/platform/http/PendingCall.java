package io.masticfold.platform.http;

import io.activej.eventloop.Eventloop;
import io.activej.reactor.schedule.ScheduledRunnable;
import java.time.Duration;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** An HTTP call in progress, which completes once. Used on the event loop only. */
final class PendingCall {

    private final Consumer<HttpResult> reply;
    private @Nullable ScheduledRunnable timeout;
    private boolean connectFailed;
    private boolean completed;

    PendingCall(Consumer<HttpResult> reply) {
        this.reply = reply;
    }

    /** Completes the call with {@code Lost} after a delay: the request may have been sent or may still be sent. */
    void timeOutAfter(Eventloop eventloop, Duration delay) {
        timeout =
                eventloop.delay(delay, () -> complete(new HttpResult.Lost("no answer in " + delay.toMillis() + " ms")));
    }

    /** Records that no connection was established, so that no byte was sent. */
    void connectFailed() {
        connectFailed = true;
    }

    /** Maps a failure to a result. */
    HttpResult toResult(Exception failure) {
        String reason = failure.getClass().getSimpleName() + ": " + failure.getMessage();
        return connectFailed ? new HttpResult.NotSent(reason) : new HttpResult.Lost(reason);
    }

    /** Completes the call with a result unless it is already complete. */
    void complete(HttpResult result) {
        if (completed) {
            return;
        }
        completed = true;
        if (timeout != null) {
            timeout.cancel();
        }
        reply.accept(result);
    }
}
