package io.masticfold.gateway.request;

import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.PauseGuard;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.CallerListener;
import java.time.Duration;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Holds a request that arrived during a pause of the process until routes, keys and targets have been read again. A
 * request whose caller leaves meanwhile is dropped.
 */
final class HeldRequest implements CallerListener {

    private final Supplier<CallerListener> start;
    private final Runnable refuse;
    private Cancellable timer = Cancellable.NONE;
    private @Nullable CallerListener started;
    private boolean ended;

    private HeldRequest(Supplier<CallerListener> start, Runnable refuse) {
        this.start = start;
        this.refuse = refuse;
    }

    /**
     * Holds a request.
     *
     * @param window time after which the request is refused; zero if it has no deadline
     * @param start starts the request
     * @param refuse refuses the request
     */
    static HeldRequest hold(GatewayContext context, Duration window, Supplier<CallerListener> start, Runnable refuse) {
        HeldRequest request = new HeldRequest(start, refuse);
        PauseGuard guard = context.pauseGuard();
        if (!window.isZero()) {
            request.timer = context.scheduler().schedule(window, request::expire);
        }
        guard.run(request::release);
        return request;
    }

    private void release() {
        timer.cancel();
        if (!ended) {
            started = start.get();
        }
    }

    private void expire() {
        if (!ended && started == null) {
            ended = true;
            refuse.run();
        }
    }

    @Override
    public void disconnected() {
        ended = true;
        timer.cancel();
        if (started != null) {
            started.disconnected();
        }
    }

    @Override
    public void writabilityChanged(boolean writable) {
        if (started != null) {
            started.writabilityChanged(writable);
        }
    }
}
