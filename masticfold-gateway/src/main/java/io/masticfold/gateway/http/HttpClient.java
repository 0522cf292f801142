package io.masticfold.gateway.http;

import io.masticfold.core.memory.MemoryAccount;
import io.masticfold.core.time.TimeSource;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;

/** Sends requests to servers and pools idle connections by address. Used on one event loop only. */
public final class HttpClient {

    /** Time-out for opening a connection, in milliseconds; a round trip between zones takes a few of them. */
    static final int CONNECT_TIMEOUT_MILLIS = 400;

    /** Time after which an idle connection is closed; shorter than the idle time-outs of known servers. */
    static final Duration IDLE_TIMEOUT = Duration.ofSeconds(3);

    /** Maximum number of idle connections per server; kept low as all gateways share the connections of a server. */
    static final int MAX_IDLE_PER_SERVER = 8;

    /** Maximum size of the headers of a response, in bytes. */
    static final int MAX_HEADER_BYTES = 64 * 1024;

    /** Idle time before the first TCP keep-alive probe; the probes detect peers that vanished without closing. */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;

    /** Reads of a connection in one turn of the event loop, and the size of each: no server may hold up the others. */
    private static final int READS_PER_TURN = 1;

    private static final int MIN_READ_BYTES = 512;
    private static final int INITIAL_READ_BYTES = 2048;
    private static final int MAX_READ_BYTES = 16 * 1024;

    private static final HttpHeadersFactory HEADERS =
            LimitedHeaders.factory(DefaultHttpHeadersFactory.headersFactory());
    private static final HttpHeadersFactory TRAILERS =
            LimitedHeaders.factory(DefaultHttpHeadersFactory.trailersFactory());

    private final ResponseMemory responseMemory;
    private final EventLoopGroup group;
    private final TimeSource time;
    private final Map<InetSocketAddress, Deque<Idle>> idle = new HashMap<>();
    private final ReadShares readShares;
    private long opened;

    /**
     * Creates a client.
     *
     * @param group event loop of all connections
     * @param time time source for the idle time-out
     */
    public HttpClient(EventLoopGroup group, TimeSource time) {
        this(group, time, CallerMemory.accountOfProcess());
    }

    /**
     * Creates a client.
     *
     * @param group event loop of all connections
     * @param time time source for the idle time-out
     * @param account counts the buffered responses
     */
    public HttpClient(EventLoopGroup group, TimeSource time, MemoryAccount account) {
        this.responseMemory = new ResponseMemory(account);
        this.group = group;
        this.time = time;
        this.readShares = new ReadShares(time);
    }

    /**
     * Excepts a server from the bound on the share of the event loop that responses of one server may take.
     *
     * @param address address of a server on which all others depend
     */
    public void neverHoldBack(InetSocketAddress address) {
        readShares.neverHoldBack(address);
    }

    /** Returns the accounts of the event loop's time that input takes; shared with the servers on the loop. */
    public ReadShares readShares() {
        return readShares;
    }

    /**
     * Sends a request.
     *
     * @param address address of the server
     * @param request the request; released by the client
     * @param choice whether an idle connection may be reused
     * @param listener receives the response, never before this method returns
     */
    public Exchange send(
            InetSocketAddress address, FullHttpRequest request, ConnectionChoice choice, ExchangeListener listener) {
        ServerConnection reused = choice == ConnectionChoice.REUSE ? takeIdle(address) : null;
        if (reused != null) {
            reused.exchange(request, listener);
            return reused;
        }
        ServerConnection connection = new ServerConnection(this, address, time);
        connection.prepare(request, listener);
        connect(connection);
        return connection;
    }

    /** Returns the limit on the memory of buffered responses. */
    public ResponseMemory responseMemory() {
        return responseMemory;
    }

    /** Returns the number of connections opened so far. */
    public long opened() {
        return opened;
    }

    private void connect(ServerConnection connection) {
        opened++;
        ChannelFuture future = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(
                        ChannelOption.RECVBUF_ALLOCATOR,
                        new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES)
                                .maxMessagesPerRead(READS_PER_TURN))
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(new ChannelInboundHandlerAdapter() {
                                    @Override
                                    public void channelRead(ChannelHandlerContext context, Object bytes) {
                                        if (connection.bytesReceived((ByteBuf) bytes)) {
                                            context.fireChannelRead(bytes);
                                        } else {
                                            ReferenceCountUtil.release(bytes);
                                        }
                                    }
                                })
                                .addLast(new HttpClientCodec(
                                        new HttpDecoderConfig()
                                                .setMaxHeaderSize(MAX_HEADER_BYTES)
                                                .setHeadersFactory(HEADERS)
                                                .setTrailersFactory(TRAILERS),
                                        HttpClientCodec.DEFAULT_PARSE_HTTP_AFTER_CONNECT_REQUEST,
                                        true))
                                .addLast(connection);
                    }
                })
                .connect(connection.address());
        future.addListener(done -> {
            if (!done.isSuccess()) {
                connection.connectFailed("cannot connect to " + connection.address() + ": " + done.cause());
            }
        });
    }

    void returnIdle(ServerConnection connection) {
        Deque<Idle> connections = idle.computeIfAbsent(connection.address(), _address -> new ArrayDeque<>());
        closeExpired(connections);
        if (connections.size() >= MAX_IDLE_PER_SERVER) {
            connection.close();
        } else {
            connections.addLast(new Idle(connection, time.nanoTime()));
        }
    }

    void removeIdle(ServerConnection connection) {
        Deque<Idle> connections = idle.get(connection.address());
        if (connections != null) {
            connections.removeIf(entry -> entry.connection() == connection);
            if (connections.isEmpty()) {
                idle.remove(connection.address());
            }
        }
    }

    private @Nullable ServerConnection takeIdle(InetSocketAddress address) {
        Deque<Idle> connections = idle.get(address);
        if (connections == null) {
            return null;
        }
        closeExpired(connections);
        Idle newest = connections.pollLast();
        return newest == null ? null : newest.connection();
    }

    /** Closes the idle connections to a server: one that has fallen silent shows that others may have, too. */
    public void closeIdle(InetSocketAddress address) {
        Deque<Idle> connections = idle.remove(address);
        if (connections != null) {
            connections.forEach(entry -> entry.connection().close());
        }
    }

    /** Closes connections that have been idle for longer than the idle time-out. */
    public void closeExpired() {
        idle.values().forEach(this::closeExpired);
        idle.values().removeIf(Deque::isEmpty);
        readShares.forgetIdle();
    }

    private void closeExpired(Deque<Idle> connections) {
        long oldest = time.nanoTime() - IDLE_TIMEOUT.toNanos();
        for (Iterator<Idle> entries = connections.iterator(); entries.hasNext(); ) {
            Idle entry = entries.next();
            if (entry.sinceNanos() - oldest > 0) {
                return;
            }
            entries.remove();
            entry.connection().close();
        }
    }

    private record Idle(ServerConnection connection, long sinceNanos) {}
}
