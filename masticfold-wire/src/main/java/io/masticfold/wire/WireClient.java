package io.masticfold.wire;

import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.link.AgentLinks;
import io.masticfold.core.model.Target;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * Manages the links of an entry, one per target of the configuration. Links are added and removed as the targets
 * change; the link of a removed target is closed after its last attempt has ended.
 *
 * <p>Listeners of an attempt are called on the Netty event loop of the link, or on the calling thread if the link is
 * not usable. They must never block; they hand their work to another thread at once.
 */
public final class WireClient implements AgentLinks {

    private static final long SHUTDOWN_QUIET_PERIOD_MILLIS = 0;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 2_000;

    private final WireEnvironment environment;
    private final ConfigDeltaCodec deltaCodec;
    private final PermitHandler permitHandler;
    private final RandomGenerator random;
    private final EventLoopGroup group;
    private final Map<String, TargetLink> links = new ConcurrentHashMap<>();
    private final ReentrantLock lock = new ReentrantLock();
    private boolean running;

    /**
     * Creates a client. It opens no links before {@link #start()}.
     *
     * @param environment objects shared by all links of the process
     * @param permitHandler decides on weight-store permits
     * @param random source of the reconnect jitter; must be thread-safe
     * @param threads number of Netty event loops
     */
    public WireClient(WireEnvironment environment, PermitHandler permitHandler, RandomGenerator random, int threads) {
        if (environment.identity().role() != PeerRole.ENTRY) {
            throw new IllegalArgumentException("a client must have the role ENTRY: " + environment.identity());
        }
        this.environment = environment;
        this.deltaCodec = new ConfigDeltaCodec(environment.codec());
        this.permitHandler = permitHandler;
        this.random = random;
        this.group = new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory("wire-client", true), NioIoHandler.newFactory());
    }

    /** Connects to the agents of all configured targets and follows changes of the configuration. */
    public void start() {
        lock.lock();
        try {
            running = true;
        } finally {
            lock.unlock();
        }
        environment.config().addListener(_snapshot -> configChanged());
        reconcile();
    }

    /** Closes all links; open attempts end with the outcome of a lost link. */
    public void stop() {
        lock.lock();
        try {
            running = false;
            links.values().forEach(TargetLink::stop);
            links.clear();
        } finally {
            lock.unlock();
        }
        group.shutdownGracefully(SHUTDOWN_QUIET_PERIOD_MILLIS, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
    }

    @Override
    public @Nullable AgentLink link(String target) {
        return links.get(target);
    }

    /** Returns the status of all links, sorted by target. */
    public List<LinkStatus> status() {
        return links.values().stream()
                .map(TargetLink::status)
                .sorted(Comparator.comparing(LinkStatus::target))
                .toList();
    }

    private void configChanged() {
        reconcile();
        links.values().forEach(TargetLink::configChanged);
    }

    /** Adds and removes links. Reads the snapshot under the lock, because notifications may arrive out of order. */
    private void reconcile() {
        lock.lock();
        try {
            if (running) {
                reconcile(environment.config().snapshot());
            }
        } finally {
            lock.unlock();
        }
    }

    private void reconcile(ConfigSnapshot snapshot) {
        for (TargetLink link : List.copyOf(links.values())) {
            boolean wanted = snapshot.target(link.target())
                    .map(target -> target.agent().equals(link.address()))
                    .orElse(false);
            if (!wanted) {
                links.remove(link.target());
                link.closeWhenIdle();
            }
        }
        for (Target target : snapshot.targets()) {
            if (!links.containsKey(target.name())) {
                TargetLink link = new TargetLink(target.name(), target.agent(), this::createDialer);
                links.put(target.name(), link);
                link.start();
            }
        }
    }

    private Dialer createDialer(TargetLink link) {
        EventLoop loop = group.next();
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) WireLimits.CONNECT_TIMEOUT.toMillis())
                .option(
                        ChannelOption.WRITE_BUFFER_WATER_MARK,
                        new WriteBufferWaterMark(
                                WireLimits.WRITE_BUFFER_LOW_WATER_BYTES, WireLimits.WRITE_BUFFER_HIGH_WATER_BYTES))
                .handler(new WireChannelInitializer(
                        environment, peer -> new EntryConnection(environment, deltaCodec, peer, link, permitHandler)));
        return new Dialer(bootstrap, loop, NumericAddress.parse(link.address()), new Backoff(random));
    }
}
