package io.masticfold.platform.store;

import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.membership.WatchElection;
import io.masticfold.core.membership.WatchRole;
import io.masticfold.core.time.Scheduler;
import io.masticfold.platform.event.PlatformEvent;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntFunction;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs the election that decides whether this entry watches the object API, and enables or disables its configuration
 * source accordingly. The initial list is always read, because an entry without a configuration does not know any agent
 * from which it could receive one.
 */
public final class ConfigWatcher {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigWatcher.class);
    private static final Duration ELECTION_INTERVAL = Duration.ofSeconds(1);

    private final ConfigSource source;
    private final ConfigReplica replica;
    private final Scheduler scheduler;
    private final IntFunction<LeaseClient> leases;
    private final WatchElection election;
    private final AtomicBoolean running = new AtomicBoolean();
    private @Nullable LeaseClient lease;
    private int leaseSlot;
    private volatile WatchRole role = WatchRole.CONTENDING;

    /**
     * Creates a watcher.
     *
     * @param source configuration source to enable or disable
     * @param replica replica of the active configuration
     * @param scheduler runs the periodic election step
     * @param leases creates a lease client for a watch slot
     * @param election decides the role of this entry
     */
    public ConfigWatcher(
            ConfigSource source,
            ConfigReplica replica,
            Scheduler scheduler,
            IntFunction<LeaseClient> leases,
            WatchElection election) {
        this.source = source;
        this.replica = replica;
        this.scheduler = scheduler;
        this.leases = leases;
        this.election = election;
    }

    /** Returns the lease name of a watch slot in a region. */
    public static String leaseName(String region, int slot) {
        return "config-watch-" + region + '-' + slot;
    }

    /** Starts the configuration source and the election. */
    public void start() {
        if (!running.getAndSet(true)) {
            source.start();
            scheduler.schedule(Duration.ZERO, this::runElection);
        }
    }

    /** Stops the configuration source and releases the lease. */
    public void stop() {
        if (running.getAndSet(false)) {
            source.stop();
            scheduler.schedule(Duration.ZERO, this::release);
        }
    }

    /** Returns the current role. */
    public WatchRole role() {
        return role;
    }

    private void runElection() {
        if (!running.get()) {
            return;
        }
        WatchRole next =
                election.decide(holdsLease(), replica.confirmedAgeNanos(scheduler.nanoTime()), scheduler.nanoTime());
        if (!next.contends() || leaseSlot != election.slot()) {
            release();
        }
        if (next.contends() && lease == null) {
            leaseSlot = election.slot();
            lease = leases.apply(leaseSlot);
            lease.start();
        }
        if (next != role) {
            PlatformEvent.CONFIG_WATCH_ROLE.log(LOG, next, leaseSlot);
            role = next;
        }
        source.watching(election.shouldWatch());
        scheduler.schedule(ELECTION_INTERVAL, this::runElection);
    }

    private boolean holdsLease() {
        LeaseClient current = lease;
        return current != null && current.lease().isPresent();
    }

    private void release() {
        LeaseClient current = lease;
        lease = null;
        if (current != null) {
            current.stop();
        }
    }
}
