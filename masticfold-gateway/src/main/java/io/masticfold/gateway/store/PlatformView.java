package io.masticfold.gateway.store;

import io.masticfold.core.directory.TargetDirectory;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.forward.RequestLimits;
import io.masticfold.gateway.protocol.GatewayAddress;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;

/** Thread-safe view of the configuration, the targets and the gateways, as immutable snapshots. */
public final class PlatformView {

    private final AtomicReference<@Nullable ForwardConfig> config = new AtomicReference<>();
    private static final int MIN_SHARING_GATEWAYS = 4;
    private static final Duration MAX_AGE = Duration.ofSeconds(4);

    private final AtomicLong confirmedNanos = new AtomicLong();

    private final AtomicReference<List<GatewayAddress>> gateways = new AtomicReference<>(List.of());
    private final AtomicReference<TargetDirectory> directory = new AtomicReference<>(TargetDirectory.EMPTY);

    /** Returns the active configuration, or null before one has been read. */
    public @Nullable ForwardConfig config() {
        return config.get();
    }

    /** Returns the version of the active configuration; 0 before one has been read. */
    public long configVersion() {
        ForwardConfig active = config.get();
        return active == null ? 0 : active.version();
    }

    /** Returns the limits on requests of callers. */
    public RequestLimits requestLimits() {
        ForwardConfig active = config.get();
        return active == null ? RequestLimits.DEFAULT : active.limits();
    }

    /** Records a time at which the store confirmed the configuration; earlier ones than the latest are ignored. */
    public void recordConfirmation(long nanos) {
        confirmedNanos.accumulateAndGet(nanos, (latest, next) -> next - latest > 0 ? next : latest);
    }

    /** Returns the time since the store last confirmed the configuration. */
    public Duration configAge(long nowNanos) {
        return Duration.ofNanos(nowNanos - confirmedNanos.get());
    }

    /**
     * Returns whether the store has not confirmed this view for so long that others may know more. A watch that is
     * answered just before its timeout (3.2 s), with the pause before it (20 ms), stays below this time.
     */
    public boolean stale(long nowNanos) {
        return configAge(nowNanos).compareTo(MAX_AGE) > 0;
    }

    /** Returns the current targets. */
    public TargetDirectory directory() {
        return directory.get();
    }

    /** Activates a configuration if it is newer than the active one; returns whether it was. */
    public boolean activateIfNewer(ForwardConfig next) {
        ForwardConfig before = config.getAndUpdate(now -> now == null || next.version() > now.version() ? next : now);
        return before == null || next.version() > before.version();
    }

    /** Returns the known gateways, including this one once it is listed in the store. */
    public List<GatewayAddress> gateways() {
        return gateways.get();
    }

    /** Replaces the gateways. */
    public void replaceGateways(List<GatewayAddress> next) {
        gateways.set(List.copyOf(next));
    }

    /** Returns the number of gateways that share a global limit; at least four, to allow for unlisted gateways. */
    public int sharingGateways() {
        return Math.max(MIN_SHARING_GATEWAYS, gateways.get().size());
    }

    /** Replaces the targets. */
    public void replaceTargets(TargetDirectory next) {
        directory.set(next);
    }
}
