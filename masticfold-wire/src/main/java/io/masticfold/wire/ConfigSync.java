package io.masticfold.wire;

import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.wire.proto.ConfigDelta;
import io.masticfold.wire.proto.ConfigEntry;
import io.masticfold.wire.proto.ConfigRequest;
import io.masticfold.wire.proto.Frame;
import io.masticfold.wire.proto.Heartbeat;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the configuration of two processes equal over one connection. A local change is pushed at once; any other
 * difference shows in a heartbeat, after which the side that is behind asks for what it lacks. Confined to the loop of
 * the connection, except for the confirmed revision and digest.
 */
final class ConfigSync {

    private static final Logger LOGGER = LoggerFactory.getLogger(ConfigSync.class);

    /** Time after which an unanswered request is repeated. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1_500);

    /** Time between requests to a peer whose objects this version cannot read; a retry cannot succeed soon. */
    private static final Duration UNREADABLE_PAUSE = Duration.ofSeconds(30);

    private final WireEnvironment environment;
    private final ConfigDeltas deltas;
    private final WireIdentity peer;
    private final Consumer<Frame> sender;
    private volatile long peerRevision;
    private volatile long peerDigest;
    private boolean heard;
    private boolean unreadable;
    private long pushedRevision;
    private long nextRequestNanos;

    ConfigSync(WireEnvironment environment, ConfigDeltas deltas, WireIdentity peer, Consumer<Frame> sender) {
        this.environment = environment;
        this.deltas = deltas;
        this.peer = peer;
        this.sender = sender;
        this.nextRequestNanos = environment.time().nanoTime();
    }

    long peerRevision() {
        return peerRevision;
    }

    long peerDigest() {
        return peerDigest;
    }

    /** Pushes the objects the peer has neither confirmed nor been sent. */
    void changed() {
        ConfigSnapshot own = environment.config().snapshot();
        long since = Math.max(peerRevision, pushedRevision);
        if (!heard || own.revision() <= since) {
            return;
        }
        send(own, since);
    }

    /** Compares the configuration of the peer with the own one and asks for the difference if the peer is ahead. */
    void heartbeat(Heartbeat heartbeat) {
        peerRevision = heartbeat.getConfigRevision();
        peerDigest = heartbeat.getConfigDigest();
        heard = true;
        ConfigSnapshot own = environment.config().snapshot();
        confirm(heartbeat, own);
        if (peerDigest == own.digest() || peerRevision < own.revision()) {
            return;
        }
        request(own);
    }

    /** A peer with the same configuration passes on when the object API was last known to have it. */
    private void confirm(Heartbeat heartbeat, ConfigSnapshot own) {
        long plusOne = heartbeat.getConfigAgeMillisPlusOne();
        if (plusOne > 0 && peerDigest == own.digest()) {
            long ageNanos = TimeUnit.MILLISECONDS.toNanos(plusOne - 1);
            environment.config().confirm(peerDigest, environment.time().nanoTime() - ageNanos);
        }
    }

    /** Returns the age of the own confirmation for heartbeats, rounded up so that an age never shrinks on its way. */
    long ageMillisPlusOne() {
        OptionalLong ageNanos =
                environment.config().confirmedAgeNanos(environment.time().nanoTime());
        return ageNanos.isEmpty() ? 0 : TimeUnit.NANOSECONDS.toMillis(ageNanos.getAsLong()) + 2;
    }

    private void request(ConfigSnapshot own) {
        long now = environment.time().nanoTime();
        if (now - nextRequestNanos < 0) {
            return;
        }
        nextRequestNanos = now + REQUEST_TIMEOUT.toNanos();
        sender.accept(Frame.newBuilder()
                .setConfigRequest(ConfigRequest.newBuilder()
                        .setSinceRevision(own.revision())
                        .setDigest(own.digest())
                        .setFull(peerRevision == own.revision()))
                .build());
    }

    void request(ConfigRequest request) {
        send(environment.config().snapshot(), request.getFull() ? 0 : request.getSinceRevision());
    }

    private void send(ConfigSnapshot own, long since) {
        deltas.since(own, since).forEach(sender);
        pushedRevision = Math.max(pushedRevision, own.revision());
    }

    /** Merges the objects the peer sent; an object that is not readable is left out and reported. */
    void delta(ConfigDelta delta) {
        List<ConfigObject> objects = new ArrayList<>(delta.getObjectsCount());
        for (ConfigEntry entry : delta.getObjectsList()) {
            try {
                objects.add(deltas.object(entry));
                pushedRevision = Math.max(pushedRevision, entry.getVersion());
            } catch (MasticfoldException e) {
                rejected(entry, e);
            }
        }
        if (!delta.getMore()) {
            nextRequestNanos = environment.time().nanoTime() + (unreadable ? UNREADABLE_PAUSE.toNanos() : 0);
            unreadable = false;
        }
        environment.config().merge(objects);
    }

    private void rejected(ConfigEntry entry, MasticfoldException cause) {
        unreadable = true;
        environment.telemetry().count("config_object_rejected");
        WireEvent.OBJECT_REJECTED.log(
                LOGGER, entry.getKind(), entry.getName(), entry.getVersion(), peer.process(), cause.getMessage());
    }
}
