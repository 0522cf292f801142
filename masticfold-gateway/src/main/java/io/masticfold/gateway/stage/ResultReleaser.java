package io.masticfold.gateway.stage;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.BufferedCall;
import io.masticfold.gateway.http.ConnectionChoice;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Releases results at one stage server, in batches. Not thread-safe. */
final class ResultReleaser {

    /** Results are evicted when the free storage is below the total divided by this value. */
    static final int MIN_FREE_DIVISOR = 2;

    private final GatewayContext context;
    private final TargetRecord server;
    private final StageServerState serverState;
    private final Supplier<Optional<StagePoolSpec>> spec;
    private final Runnable onReleased;

    /**
     * Creates a releaser for one server.
     *
     * @param spec returns the current specification of the pool
     * @param onReleased called after results were released
     */
    ResultReleaser(
            GatewayContext context,
            TargetRecord server,
            StageServerState serverState,
            Supplier<Optional<StagePoolSpec>> spec,
            Runnable onReleased) {
        this.context = context;
        this.server = server;
        this.serverState = serverState;
        this.spec = spec;
        this.onReleased = onReleased;
    }

    /**
     * Releases results.
     *
     * @param mayBeNeeded whether the results may be needed again after a failure; if so, they are kept until the server
     *     runs short of storage
     */
    void release(List<String> handles, boolean mayBeNeeded) {
        if (mayBeNeeded) {
            serverState.markEvictable(handles);
            evictIfLowOnStorage();
            return;
        }
        handles.forEach(serverState::addPendingRelease);
        scheduleSend();
    }

    /** Releases the results that are needed only after a failure, if the server runs short of storage. */
    void evictIfLowOnStorage() {
        long total = spec.get().map(StagePoolSpec::storageBytes).orElse(0L);
        if (serverState.freeBytes(total) < total / MIN_FREE_DIVISOR && serverState.evictAll()) {
            scheduleSend();
        }
    }

    private void scheduleSend() {
        if (!serverState.releaseScheduled()) {
            serverState.markReleaseScheduled();
            context.scheduler().schedule(StageServerState.RELEASE_DELAY, this::send);
        }
    }

    private void send() {
        List<String> handles = serverState.takePendingReleases();
        boolean known = context.view().directory().find(server.id()).isPresent();
        if (handles.isEmpty() || !known) {
            return;
        }
        BufferedCall.start(
                context.client(),
                context.scheduler(),
                server.address(),
                BufferedCall.request(
                        HttpMethod.POST,
                        context.protocol().stages().freeUri(),
                        server.address(),
                        context.protocol().stages().encodeFree(handles)),
                ConnectionChoice.REUSE,
                StageServerState.RELEASE_TIMEOUT,
                _result -> {
                    // If the call failed, the server drops the results at the end of their retention time.
                    serverState.removeResults(handles);
                    onReleased.run();
                });
    }
}
