package io.masticfold.gateway.peer;

import io.masticfold.core.directory.RegistrationPolicy;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimerGrid;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.PeerHello;
import io.masticfold.gateway.protocol.GatewayAddress;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import jdk.net.ExtendedSocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * Connects this gateway with its peers. Each gateway opens a connection to every other gateway and sends its requests
 * on it; it responds on the connections that the peers have opened. A peer is reachable while frames arrive from it.
 * Not thread-safe.
 */
public final class PeerLinks {

    /** Interval of status frames with news, and of the check of the connections. */
    public static final Duration STATUS_INTERVAL = Duration.ofMillis(100);

    /** Time without a frame after which a connection is closed; several intervals of the heartbeat. */
    static final Duration SILENCE_TIMEOUT = Duration.ofMillis(600);

    /** Bounds of the delay before a reconnect attempt. */
    static final Duration MIN_RECONNECT_DELAY = Duration.ofMillis(200);

    static final Duration MAX_RECONNECT_DELAY = Duration.ofSeconds(2);

    /** Idle time before a probe of a connection that a peer has opened, and between two probes. */
    private static final int KEEP_ALIVE_SECONDS = 1;

    private static final int KEEP_ALIVE_PROBES = 2;

    private static final String SEED_PREFIX = "seed ";

    private final EventLoopGroup group;
    private final Scheduler scheduler;
    private final String node;
    private final Supplier<List<GatewayAddress>> gateways;
    private final List<InetSocketAddress> seeds;
    private final PeerListener listener;
    private final Map<String, PeerLink> links = new HashMap<>();
    private final Set<InboundConnection> inboundConnections = new LinkedHashSet<>();
    private boolean peerConnected;

    /**
     * Creates the connection manager. No connection is opened before {@link #start}.
     *
     * @param node name of this gateway
     * @param gateways supplies all known gateways
     * @param seeds addresses to connect to while no gateway is known
     * @param listener receives the frames and the loss of connections
     */
    public PeerLinks(
            EventLoopGroup group,
            Scheduler scheduler,
            String node,
            Supplier<List<GatewayAddress>> gateways,
            List<InetSocketAddress> seeds,
            PeerListener listener) {
        this.group = group;
        this.scheduler = scheduler;
        this.node = node;
        this.gateways = gateways;
        this.seeds = List.copyOf(seeds);
        this.listener = listener;
    }

    /**
     * Opens the listening socket and starts connecting to the peers.
     *
     * @throws InterruptedException if interrupted while binding
     */
    public void start(InetSocketAddress address) throws InterruptedException {
        new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.SO_KEEPALIVE, true)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_SECONDS)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_SECONDS)
                .childOption(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .childHandler(new PeerChannelInitializer(InboundConnection::new))
                .bind(address)
                .sync();
        scheduler.schedule(Duration.ZERO, this::maintain);
    }

    private void maintain() {
        long now = nowNanos();
        List<GatewayAddress> known = knownGateways();
        closeUnknown(known);
        for (GatewayAddress gateway : known) {
            if (!gateway.name().equals(node)) {
                PeerLink present = links.get(gateway.name());
                if (present == null || !present.address().equals(gateway.peerAddress())) {
                    if (present != null) {
                        present.retire();
                    }
                    links.put(gateway.name(), new PeerLink(gateway.name(), gateway.peerAddress(), this, now));
                }
            }
        }
        List.copyOf(inboundConnections).forEach(connection -> connection.closeIfStuck(now));
        for (PeerLink link : new ArrayList<>(links.values())) {
            if (link.silent(now, SILENCE_TIMEOUT.toNanos())) {
                link.close();
            }
            if (link.reconnectDue(now)) {
                link.connect(group, now);
            }
        }
        scheduler.schedule(TimerGrid.delay(scheduler, STATUS_INTERVAL), this::maintain);
    }

    private List<GatewayAddress> knownGateways() {
        List<GatewayAddress> listed = gateways.get();
        return listed.isEmpty()
                ? seeds.stream()
                        .map(address -> new GatewayAddress(
                                SEED_PREFIX + address, "", address, RegistrationPolicy.NO_GENERATION))
                        .toList()
                : listed;
    }

    private void closeUnknown(List<GatewayAddress> known) {
        Set<String> names = known.stream().map(GatewayAddress::name).collect(Collectors.toSet());
        links.values().removeIf(link -> {
            boolean unknown = !names.contains(link.peer());
            if (unknown) {
                link.retire();
            }
            return unknown;
        });
    }

    /** Returns the names of the peers that accept work: reachable, not draining, and listed by name. */
    public List<String> reachable() {
        return links.values().stream()
                .filter(link ->
                        link.connected() && !link.draining() && !link.peer().startsWith(SEED_PREFIX))
                .map(PeerLink::peer)
                .toList();
    }

    /** Returns the names of all reachable peers, including draining peers and seeds. */
    public List<String> connected() {
        return links.values().stream()
                .filter(PeerLink::connected)
                .map(PeerLink::peer)
                .toList();
    }

    /** Returns whether a peer is reachable. */
    public boolean reachable(String peer) {
        PeerLink link = links.get(peer);
        return link != null && link.connected();
    }

    /** Sends a frame to a peer. Does nothing if the peer is not connected. */
    public void send(String peer, PeerFrame frame) {
        PeerLink link = links.get(peer);
        if (link != null) {
            link.send(frame);
        }
    }

    /** Sends a frame to every peer that has opened a connection to this gateway. */
    public void broadcast(PeerFrame frame) {
        if (inboundConnections.isEmpty()) {
            return;
        }
        try (EncodedFrame encoded = new EncodedFrame(frame)) {
            inboundConnections.forEach(connection -> connection.send(encoded));
        }
    }

    /** Returns whether a peer has opened a connection since the last call. */
    public boolean takePeerConnected() {
        boolean connected = peerConnected;
        peerConnected = false;
        return connected;
    }

    /** Returns whether a gateway that has answered at the address of a peer is that peer. */
    boolean answersFor(String peer, String found) {
        return peer.startsWith(SEED_PREFIX) || peer.equals(found);
    }

    static Duration reconnectDelay(int consecutiveFailures) {
        Duration delay = MIN_RECONNECT_DELAY.multipliedBy(1L << Math.min(consecutiveFailures, 4));
        return delay.compareTo(MAX_RECONNECT_DELAY) > 0 ? MAX_RECONNECT_DELAY : delay;
    }

    String node() {
        return node;
    }

    PeerListener listener() {
        return listener;
    }

    long nowNanos() {
        return scheduler.nanoTime();
    }

    void connectionLost(String peer) {
        listener.connectionLost(peer);
    }

    /** Handles the events of a connection that a peer has opened. */
    private final class InboundConnection extends SimpleChannelInboundHandler<PeerFrame> implements PeerCaller {

        private final OutputProgress output = new OutputProgress(SILENCE_TIMEOUT);
        private @Nullable Channel channel;
        private String peer = "";

        @Override
        public void channelActive(ChannelHandlerContext context) {
            channel = context.channel();
            send(PeerFrame.newBuilder()
                    .setHello(PeerHello.newBuilder().setNode(node))
                    .build());
            inboundConnections.add(this);
            peerConnected = true;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            if (frame.hasHello()) {
                peer = frame.getHello().getNode();
                closeReplaced(context.channel());
            }
            listener.requestReceived(this, frame);
        }

        /** Closes an earlier connection from the same process, which it has given up. */
        private void closeReplaced(Channel opened) {
            List.copyOf(inboundConnections).stream()
                    .filter(other -> other != this && other.peer.equals(peer) && sameHost(other.channel, opened))
                    .forEach(InboundConnection::close);
        }

        private static boolean sameHost(@Nullable Channel one, Channel other) {
            return one != null
                    && one.remoteAddress() instanceof InetSocketAddress left
                    && other.remoteAddress() instanceof InetSocketAddress right
                    && left.getAddress().equals(right.getAddress());
        }

        /** Closes the connection if its peer has taken none of the frames that are waiting for too long. */
        void closeIfStuck(long nowNanos) {
            Channel open = channel;
            if (open != null && output.stuck(open.unsafe().outboundBuffer(), nowNanos)) {
                close();
            }
        }

        private void close() {
            Channel open = channel;
            if (open != null) {
                open.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext _context) {
            inboundConnections.remove(this);
            listener.callerDisconnected(this);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable _cause) {
            context.close();
        }

        void send(EncodedFrame frame) {
            Channel open = channel;
            if (open != null && open.isActive()) {
                frame.sendTo(open);
            }
        }

        @Override
        public void send(PeerFrame frame) {
            Channel open = channel;
            if (open != null && open.isActive()) {
                open.writeAndFlush(frame);
            }
        }
    }
}
