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

/** Tells one stage server which results it need not keep any longer. Used by one thread. */
final class StageReleases {

    /** Room is short when less than this part of it is free. */
    static final int SHORT_ROOM_PART = 2;

    private final GatewayContext context;
    private final TargetRecord server;
    private final StageServerAccount account;
    private final Supplier<Optional<StagePoolSpec>> spec;
    private final Runnable released;

    /**
     * Creates the releases of a server.
     *
     * @param spec description of the pool at present
     * @param released called when results have been released
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
     * @param needed whether a failure may still make them needed again; such results are kept until room is short
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

    /** Releases what is needed only after a failure if room is short. */
    void evictIfShort() {
        long total = spec.get().map(StagePoolSpec::storageBytes).orElse(0L);
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
                    // A result whose release was lost goes by itself after its keep time.
                    account.freed(handles);
                    released.run();
                });
    }
}
