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
 * Replicates the configuration between two processes over one connection. A local change is pushed at once. Other
 * differences are detected by comparing the revision and digest in heartbeats; the side that is behind then requests
 * the missing objects. Confined to the event loop of the connection, except for the revision and digest of the peer.
 */
final class ConfigSync {

    private static final Logger LOGGER = LoggerFactory.getLogger(ConfigSync.class);

    /** Time after which a request without a response is sent again. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(1_500);

    /** Delay between requests to a peer whose objects this version cannot decode; an earlier retry would fail again. */
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

    /** Sends the objects that are newer than the revision the peer has reported or has already been sent. */
    void changed() {
        ConfigSnapshot own = environment.config().snapshot();
        long since = Math.max(peerRevision, pushedRevision);
        if (!heard || own.revision() <= since) {
            return;
        }
        send(own, since);
    }

    /** Compares the peer's configuration with the local one and requests the difference if the peer is ahead. */
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

    /** Takes over the time at which a peer with the same configuration knew it to match the object API. */
    private void confirm(Heartbeat heartbeat, ConfigSnapshot own) {
        long plusOne = heartbeat.getConfigAgeMillisPlusOne();
        if (plusOne > 0 && peerDigest == own.digest()) {
            long ageNanos = TimeUnit.MILLISECONDS.toNanos(plusOne - 1);
            environment.config().confirm(peerDigest, environment.time().nanoTime() - ageNanos);
        }
    }

    /** Returns the age of the local confirmation plus one, rounded up so that forwarding never lowers it. */
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

    /** Merges the objects sent by the peer; objects that cannot be decoded are skipped and logged. */
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
