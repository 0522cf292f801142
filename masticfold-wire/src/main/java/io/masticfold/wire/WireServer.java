package io.masticfold.wire;

import io.masticfold.core.link.StageHandler;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Accepts connections from entries and passes their attempts to the agent's handler. */
public final class WireServer {

    private static final Logger LOGGER = LoggerFactory.getLogger(WireServer.class);
    private static final int ACCEPT_BACKLOG = 1_024;
    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 0;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    private final WireEnvironment environment;
    private final InetSocketAddress listenAddress;
    private final StageHandler handler;
    private final AgentState state;
    private final ConfigDeltaCodec deltaCodec;
    private final EventLoopGroup group;
    private final Set<AgentConnection> connections = ConcurrentHashMap.newKeySet();
    private final AtomicInteger openConnections = new AtomicInteger();
    private final AtomicInteger unauthenticatedConnections = new AtomicInteger();
    private volatile @Nullable Channel channel;

    /**
     * Creates a server. It does not listen before {@link #start()}.
     *
     * @param environment objects shared by all links of the process
     * @param listenAddress numeric address to listen on; port 0 selects a free port
     * @param handler runs the attempts; called on Netty event loops, must not block
     * @param state supplies the state reported in heartbeats
     * @param threads number of Netty event loops
     */
    public WireServer(
            WireEnvironment environment,
            InetSocketAddress listenAddress,
            StageHandler handler,
            AgentState state,
            int threads) {
        if (environment.identity().role() != PeerRole.AGENT) {
            throw new IllegalArgumentException("a server must have the role AGENT: " + environment.identity());
        }
        this.environment = environment;
        this.listenAddress = listenAddress;
        this.handler = handler;
        this.state = state;
        this.deltaCodec = new ConfigDeltaCodec(environment.codec());
        this.group = new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory("wire-server", true), NioIoHandler.newFactory());
    }

    /**
     * Starts to accept connections.
     *
     * @throws IOException if the address cannot be bound
     */
    public void start() throws IOException {
        ServerBootstrap bootstrap = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(
                                WireLimits.WRITE_BUFFER_LOW_WATER_BYTES, WireLimits.WRITE_BUFFER_HIGH_WATER_BYTES))
                .childHandler(new AcceptedChannelInitializer());
        ChannelFuture bound = bootstrap.bind(listenAddress).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException("cannot listen on " + listenAddress, bound.cause());
        }
        channel = bound.channel();
        environment.config().addListener(_snapshot -> connections.forEach(AgentConnection::configChanged));
        WireEvent.SERVER_STARTED.log(LOGGER, address());
    }

    /** Stops listening and closes all connections. */
    public void stop() {
        Channel listening = channel;
        if (listening != null) {
            listening.close().awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
        }
        connections.forEach(AgentConnection::close);
        group.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
        WireEvent.SERVER_STOPPED.log(LOGGER);
    }

    /** Returns the address the server listens on. */
    public InetSocketAddress address() {
        Channel listening = channel;
        if (listening == null) {
            throw new IllegalStateException("the server is not started");
        }
        return (InetSocketAddress) listening.localAddress();
    }

    /** Sends a heartbeat on every link immediately, so that entries learn of a change before the next interval. */
    public void sendHeartbeats() {
        connections.forEach(connection -> connection.execute(connection::sendHeartbeat));
    }

    /** Returns the status of the links to entries, sorted by process name. */
    public List<LinkStatus> status() {
        return connections.stream()
                .map(connection ->
                        connection.status(connection.peer().identity().process()))
                .sorted(Comparator.comparing(LinkStatus::target))
                .toList();
    }

    /** Returns the number of attempts whose outcome has not been sent. */
    public int openAttempts() {
        return connections.stream().mapToInt(AgentConnection::openAttempts).sum();
    }

    /** Returns the number of authenticated connections. */
    public int connectedEntries() {
        return connections.size();
    }

    /**
     * Requests a weight-store permit from the connected entries, one after the other. Only the entry that holds the
     * weight-store lease grants it.
     *
     * @param target target that requests to load weights
     * @param bytes number of bytes to load
     * @param reply receives the first grant, or {@link PermitDecision#DENIED} if there is none, on any thread
     */
    public void requestPermit(String target, long bytes, Consumer<PermitDecision> reply) {
        requestPermit(List.copyOf(connections).iterator(), target, bytes, reply);
    }

    private void requestPermit(
            Iterator<AgentConnection> remaining, String target, long bytes, Consumer<PermitDecision> reply) {
        if (!remaining.hasNext()) {
            reply.accept(PermitDecision.DENIED);
            return;
        }
        remaining.next().requestPermit(target, bytes, decision -> {
            if (decision.granted()) {
                reply.accept(decision);
            } else {
                requestPermit(remaining, target, bytes, reply);
            }
        });
    }

    void connectionOpened(AgentConnection connection) {
        connections.add(connection);
    }

    void connectionClosed(AgentConnection connection) {
        connections.remove(connection);
    }

    /** Initializes accepted connections and closes those that exceed the connection limits. */
    private final class AcceptedChannelInitializer extends ChannelInitializer<Channel> {

        @Override
        protected void initChannel(Channel acceptedChannel) {
            int open = openConnections.incrementAndGet();
            int openUnauthenticated = unauthenticatedConnections.incrementAndGet();
            AtomicBoolean authenticated = new AtomicBoolean();
            acceptedChannel.closeFuture().addListener(_closed -> {
                openConnections.decrementAndGet();
                if (authenticated.compareAndSet(false, true)) {
                    unauthenticatedConnections.decrementAndGet();
                }
            });
            if (open > WireLimits.MAX_CONNECTIONS || openUnauthenticated > WireLimits.MAX_UNAUTHENTICATED_CONNECTIONS) {
                environment.telemetry().count("connection_limit");
                WireEvent.TOO_MANY_CONNECTIONS.log(LOGGER, acceptedChannel.remoteAddress(), open);
                acceptedChannel.close();
                return;
            }
            acceptedChannel.pipeline().addLast(new WireChannelInitializer(environment, peer -> {
                if (authenticated.compareAndSet(false, true)) {
                    unauthenticatedConnections.decrementAndGet();
                }
                return new AgentConnection(environment, deltaCodec, peer, WireServer.this, handler, state);
            }));
        }
    }
}
