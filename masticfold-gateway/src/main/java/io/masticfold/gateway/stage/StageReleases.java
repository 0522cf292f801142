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
final class StageReleases {

    /** Results are evicted when the free storage is below the total divided by this value. */
    static final int SHORT_ROOM_PART = 2;

    private final GatewayContext context;
    private final TargetRecord server;
    private final StageServerAccount account;
    private final Supplier<Optional<StagePoolSpec>> spec;
    private final Runnable released;

    /**
     * Creates a releaser for one server.
     *
     * @param spec returns the current specification of the pool
     * @param released called after results were released
     */
    StageReleases(
            GatewayContext context,
            TargetRecord server,
            StageServerAccount account,
            Supplier<Optional<StagePoolSpec>> spec,
            Runnable released) {
        this.context = context;
        this.server = server;
        this.account = account;
        this.spec = spec;
        this.released = released;
    }

    /**
     * Releases results.
     *
     * @param needed whether the results may be needed again after a failure; if so, they are kept until the server runs
     *     short of storage
     */
    void release(List<String> handles, boolean needed) {
        if (needed) {
            account.evictable(handles);
            evictIfShort();
            return;
        }
        handles.forEach(account::release);
        arm();
    }

    /** Releases the results that are needed only after a failure, if the server runs short of storage. */
    void evictIfShort() {
        long total = spec.get().map(StagePoolSpec::roomBytes).orElse(0L);
        if (account.roomBytes(total) < total / SHORT_ROOM_PART && account.evict()) {
            arm();
        }
    }

    private void arm() {
        if (!account.releaseArmed()) {
            account.armRelease();
            context.scheduler().schedule(StageServerAccount.RELEASE_DELAY, this::send);
        }
    }

    private void send() {
        List<String> handles = account.takeReleased();
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
                StageServerAccount.RELEASE_TIMEOUT,
                _result -> {
                    // If the call failed, the server drops the results at the end of their retention time.
                    account.freed(handles);
                    released.run();
                });
    }
}
