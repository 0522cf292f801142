package io.masticfold.gateway.http;

import io.masticfold.core.forward.RequestLimits;
import io.masticfold.core.memory.MemoryAccount;
import io.masticfold.core.memory.SlowReaders;
import io.masticfold.core.time.TimeSource;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/** Accepts the HTTP connections of callers. Used on its event loop only, except for {@link #start}. */
public final class HttpServer {

    /** Maximum number of connections that wait to be accepted. */
    private static final int BACKLOG = 1024;

    /** Maximum number of reads from one connection before the others have their turn. */
    private static final int MAX_READS = 4;

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2048;

    /** Size of a read; a turn has at most 16 KiB, as that of a connection to a server. */
    private static final int MAX_READ_BYTES = 4096;

    private final EventLoopGroup group;
    private final TimeSource time;
    private final RequestLimitsSource limits;
    private final RequestHandler handler;
    private final Consumer<BadRequestReason> refusals;
    private final ReadShares shares;
    private final PipelinedStarts pipelinedStarts = new PipelinedStarts();
    private final Set<CallerConnection> connections = new LinkedHashSet<>();
    private @Nullable Channel channel;
    private final CallerMemory memory;
    private boolean draining;
    private boolean sheddingScheduled;

    /** Creates a server with a memory account of its own. */
    public HttpServer(
            EventLoopGroup group,
            TimeSource time,
            ReadShares shares,
            RequestLimitsSource limits,
            RequestHandler handler,
            Consumer<BadRequestReason> refusals) {
        this(
                group,
                time,
                shares,
                limits,
                handler,
                refusals,
                new CallerMemory(CallerMemory.accountOfProcess(), _reader -> {}));
    }

    /**
     * Creates a server.
     *
     * @param group event loop of all connections
     * @param time time source
     * @param shares accounts of the event loop's time that input takes
     * @param limits limits on requests
     * @param handler serves the requests
     * @param refusals called for each request that is refused before it reaches the handler
     * @param memory counts the bodies of requests and the unsent output
     */
    public HttpServer(
            EventLoopGroup group,
            TimeSource time,
            ReadShares shares,
            RequestLimitsSource limits,
            RequestHandler handler,
            Consumer<BadRequestReason> refusals,
            CallerMemory memory) {
        this.group = group;
        this.time = time;
        this.shares = shares;
        this.limits = limits;
        this.handler = handler;
        this.refusals = refusals;
        this.memory = memory;
    }

    /**
     * Opens the listening socket.
     *
     * @throws InterruptedException if interrupted while binding
     */
    public void start(InetSocketAddress address) throws InterruptedException {
        channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                // Reads until nothing is left, so that the end of a connection is seen together with its last request.
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .respectMaybeMoreData(false)
                                .maxMessagesPerRead(MAX_READS))
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel accepted) {
                        UnsentOutput output =
                                new UnsentOutput(memory.account(), time, HttpServer.this::scheduleShedding);
                        CallerConnection connection =
                                new CallerConnection(HttpServer.this, time, output, throttle(accepted));
                        accepted.pipeline()
                                .addLast(output)
                                .addLast(new ChannelInboundHandlerAdapter() {
                                    @Override
                                    public void channelRead(ChannelHandlerContext context, Object bytes) {
                                        connection.bytesReceived();
                                        context.fireChannelRead(bytes);
                                    }
                                })
                                .addLast(new StrictRequestDecoder(new HttpDecoderConfig()
                                        .setMaxInitialLineLength(limits().maxHeaderBytes())
                                        .setMaxHeaderSize(limits().maxHeaderBytes())))
                                .addLast(new HttpResponseEncoder())
                                .addLast(connection);
                    }
                })
                .bind(address)
                .sync()
                .channel();
    }

    private ReadThrottle throttle(Channel accepted) {
        return new ReadThrottle(
                shares, ReadShares.callerKey(accepted.remoteAddress()), true, ProcessorTime::ofCurrentThread);
    }

    /**
     * Returns the address of the listening socket.
     *
     * @throws IllegalStateException if the server has not been started
     */
    public InetSocketAddress address() {
        Channel listening = channel;
        if (listening == null) {
            throw new IllegalStateException("server has not been started");
        }
        return (InetSocketAddress) listening.localAddress();
    }

    /** Closes each connection after its next response, which announces it. */
    public void drain() {
        draining = true;
    }

    /** Closes the listening socket. */
    public void stopAccepting() {
        Channel listening = channel;
        if (listening != null) {
            listening.close();
        }
    }

    /**
     * Closes the connections that are idle.
     *
     * @param duration time for which no request was read or served; on other connections one may be on its way
     */
    public void closeIdleFor(Duration duration) {
        new ArrayList<>(connections).forEach(connection -> connection.closeIfIdleFor(duration));
    }

    /** Returns the number of open connections. */
    public int connections() {
        return connections.size();
    }

    /** Returns whether all connections are idle. */
    public boolean idle() {
        return connections.stream().allMatch(CallerConnection::idle);
    }

    private void scheduleShedding() {
        if (!sheddingScheduled) {
            sheddingScheduled = true;
            group.next().execute(this::shedSlowReaders);
        }
    }

    /** Closes the connections that make the least progress if the process holds too much for others. */
    public void shedSlowReaders() {
        sheddingScheduled = false;
        MemoryAccount account = memory.account();
        if (account.inUseBytes() < account.limitBytes() / 2) {
            return;
        }
        List<SlowReaders.Reader<CallerConnection>> readers =
                connections.stream().map(CallerConnection::sample).toList();
        long now = time.nanoTime();
        SlowReaders.toShed(account, readers, now)
                .forEach(reader -> memory.onShed().accept(reader.connection().shed(reader, now)));
        account.shortageHandled();
    }

    MemoryAccount account() {
        return memory.account();
    }

    RequestLimits limits() {
        return limits.current();
    }

    RequestHandler handler() {
        return handler;
    }

    PipelinedStarts pipelinedStarts() {
        return pipelinedStarts;
    }

    boolean draining() {
        return draining;
    }

    void refused(BadRequestReason reason) {
        refusals.accept(reason);
    }

    void opened(CallerConnection connection) {
        connections.add(connection);
    }

    void closed(CallerConnection connection) {
        connections.remove(connection);
    }
}
