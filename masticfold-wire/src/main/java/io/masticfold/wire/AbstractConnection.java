package io.masticfold.wire;

import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.limit.WorkspaceDemand;
import io.masticfold.core.limit.WorkspaceShare;
import io.masticfold.core.time.Cancellable;
import io.masticfold.wire.proto.Frame;
import io.masticfold.wire.proto.Heartbeat;
import io.masticfold.wire.proto.QuotaDemand;
import io.masticfold.wire.proto.QuotaShare;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Base class of both ends of an authenticated connection; exchanges heartbeats and configuration. */
abstract class AbstractConnection extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOGGER = LoggerFactory.getLogger(AbstractConnection.class);

    private final WireEnvironment environment;
    private final Peer peer;
    private final Consumer<Heartbeat> heartbeatListener;
    private final ConfigSync configSync;
    private @Nullable ChannelHandlerContext context;
    private Cancellable heartbeatTimer = Cancellable.NONE;
    private volatile long lastHeartbeatNanos;
    private volatile boolean open = true;
    private volatile boolean peerLeaving;
    private final HeartbeatEchoes heartbeatEchoes = new HeartbeatEchoes();
    private boolean closeHandled;

    /**
     * Creates a connection.
     *
     * @param environment objects shared by all links of the process
     * @param deltaCodec codec of configuration deltas
     * @param peer the authenticated peer
     * @param heartbeatListener receives each heartbeat and reads the fields that only the peer's role sends
     */
    AbstractConnection(
            WireEnvironment environment,
            ConfigDeltaCodec deltaCodec,
            Peer peer,
            Consumer<Heartbeat> heartbeatListener) {
        super(Frame.class);
        this.environment = environment;
        this.peer = peer;
        this.heartbeatListener = heartbeatListener;
        this.configSync = new ConfigSync(environment, deltaCodec, peer.identity(), this::send);
        // A completed handshake counts as a heartbeat, because the first heartbeat follows at once.
        this.lastHeartbeatNanos = environment.time().nanoTime();
    }

    /** Handles a frame that is neither a heartbeat nor part of the configuration exchange. */
    abstract void handleFrame(Frame frame);

    /** Creates a heartbeat with the fields that only this process's role sends. */
    abstract Heartbeat.Builder newHeartbeat();

    /** Called at each heartbeat interval while the peer has been silent for {@link WireLimits#LINK_SUSPECT_TIMEOUT}. */
    void onSilence() {}

    /** Called once the connection is authenticated and can send frames. */
    abstract void onOpen();

    /** Ends all open attempts and requests. Called once, when the connection is closed. */
    abstract void onClose();

    /** Returns the number of attempts that have no outcome yet. */
    abstract int openAttempts();

    final WireEnvironment environment() {
        return environment;
    }

    final Peer peer() {
        return peer;
    }

    final ConfigSync configSync() {
        return configSync;
    }

    final boolean peerLeaving() {
        return peerLeaving;
    }

    /** Returns whether the connection is open and a heartbeat has arrived recently. */
    final boolean alive() {
        return open && silenceNanos() < WireLimits.LINK_SUSPECT_TIMEOUT.toNanos();
    }

    private long silenceNanos() {
        return environment.time().nanoTime() - lastHeartbeatNanos;
    }

    final ChannelHandlerContext context() {
        ChannelHandlerContext ctx = context;
        if (ctx == null) {
            throw new IllegalStateException("the connection with " + peer.identity() + " is not open yet");
        }
        return ctx;
    }

    /** Sends a frame. Must be called on the event loop. */
    final void send(Frame frame) {
        context().writeAndFlush(frame, context().voidPromise());
    }

    /**
     * Runs a task on the event loop of the connection.
     *
     * @return false if the event loop has shut down and the task will not run
     */
    final boolean execute(Runnable task) {
        try {
            context().executor().execute(task);
            return true;
        } catch (RejectedExecutionException _e) {
            return false;
        }
    }

    final void close() {
        context().close();
    }

    /** Sends changed configuration objects to the peer; safe to call from any thread. */
    final void configChanged() {
        execute(() -> {
            if (open) {
                configSync.pushChanges();
            }
        });
    }

    /** Returns the status of the link, reported under the given name; safe to call from any thread. */
    final LinkStatus status(String name) {
        return new LinkStatus(
                name,
                alive() && !peerLeaving,
                peerLeaving,
                peer.identity().incarnation(),
                configSync.peerRevision(),
                configSync.peerDigest(),
                TimeUnit.NANOSECONDS.toMicros(peer.roundTripNanos()),
                openAttempts());
    }

    @Override
    public final void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        long interval = WireLimits.HEARTBEAT_INTERVAL.toMillis();
        Future<?> scheduled = ctx.executor().scheduleAtFixedRate(this::tick, interval, interval, TimeUnit.MILLISECONDS);
        heartbeatTimer = () -> scheduled.cancel(false);
        WireEvent.LINK_UP.log(
                LOGGER,
                peer.identity().process(),
                ctx.channel().remoteAddress(),
                peer.identity().incarnation());
        environment.config().recordRoundTrip(environment.time().nanoTime() - peer.roundTripNanos());
        onOpen();
        sendHeartbeat();
    }

    @Override
    public final void channelInactive(ChannelHandlerContext ctx) {
        handleClose(ctx);
        ctx.fireChannelInactive();
    }

    private void handleClose(ChannelHandlerContext ctx) {
        if (closeHandled) {
            return;
        }
        closeHandled = true;
        open = false;
        heartbeatTimer.cancel();
        WireEvent.LINK_DOWN.log(LOGGER, peer.identity().process(), ctx.channel().remoteAddress(), openAttempts());
        environment.quota().linkClosed(peer.identity());
        onClose();
    }

    @Override
    protected final void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        switch (frame.getMessageCase()) {
            case HEARTBEAT -> handleHeartbeat(frame.getHeartbeat());
            case CONFIG_DELTA -> configSync.handleDelta(frame.getConfigDelta());
            case CONFIG_REQUEST -> configSync.handleRequest(frame.getConfigRequest());
            case HELLO, PROOF, MESSAGE_NOT_SET ->
                ConnectionErrors.closeOnViolation(
                        ctx, environment.telemetry(), "unexpected frame " + frame.getMessageCase());
            default -> handleFrame(frame);
        }
    }

    private void handleHeartbeat(Heartbeat heartbeat) {
        lastHeartbeatNanos = environment.time().nanoTime();
        peerLeaving = heartbeat.getLeaving();
        heartbeatListener.accept(heartbeat);
        if (peer.identity().role() == PeerRole.ENTRY) {
            environment.quota().demandReceived(peer.identity(), demands(heartbeat));
        } else {
            environment.quota().sharesReceived(peer.identity(), shares(heartbeat), heartbeat.getConnectedEntries());
        }
        configSync.handleHeartbeat(heartbeat);
        heartbeatEchoes.recordReceived(heartbeat.getSequence());
        heartbeatEchoes
                .sentTimeNanos(heartbeat.getEchoSequence())
                .ifPresent(asked -> environment.config().recordRoundTrip(asked));
    }

    private static List<WorkspaceDemand> demands(Heartbeat heartbeat) {
        return heartbeat.getDemandList().stream()
                .map(demand -> new WorkspaceDemand(
                        demand.getWorkspace(), demand.getRequestsPerSecond(), demand.getLimitPerSecond()))
                .toList();
    }

    private static List<WorkspaceShare> shares(Heartbeat heartbeat) {
        return heartbeat.getShareList().stream()
                .map(share -> new WorkspaceShare(share.getWorkspace(), share.getRequestsPerSecond()))
                .toList();
    }

    private void tick() {
        long silence = silenceNanos();
        if (silence > WireLimits.LINK_CLOSE_TIMEOUT.toNanos()) {
            environment.telemetry().count("link_silent");
            WireEvent.LINK_SILENT.log(
                    LOGGER,
                    peer.identity().process(),
                    context().channel().remoteAddress(),
                    TimeUnit.NANOSECONDS.toMillis(silence));
            close();
            return;
        }
        if (!alive()) {
            onSilence();
        }
        sendHeartbeat();
    }

    /** Sends a heartbeat immediately, outside the regular interval. Must be called on the event loop. */
    final void sendHeartbeat() {
        ConfigSnapshot snapshot = environment.config().snapshot();
        Heartbeat.Builder heartbeat = newHeartbeat()
                .setSequence(heartbeatEchoes.recordSent(environment.time().nanoTime()))
                .setEchoSequence(heartbeatEchoes.lastReceived())
                .setConfigRevision(snapshot.revision())
                .setConfigDigest(snapshot.digest())
                .setConfigAgeMillisPlusOne(configSync.ageMillisPlusOne());
        environment
                .quota()
                .demand(peer.identity())
                .forEach(demand -> heartbeat.addDemand(QuotaDemand.newBuilder()
                        .setWorkspace(demand.workspace())
                        .setRequestsPerSecond(demand.perSecond())
                        .setLimitPerSecond(demand.limitPerSecond())));
        environment
                .quota()
                .shares(peer.identity())
                .forEach(share -> heartbeat.addShare(QuotaShare.newBuilder()
                        .setWorkspace(share.workspace())
                        .setRequestsPerSecond(share.perSecond())));
        send(Frame.newBuilder().setHeartbeat(heartbeat).build());
    }

    @Override
    public final void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ConnectionErrors.closeOnError(ctx, environment.telemetry(), cause);
    }
}
