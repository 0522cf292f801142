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
    private static final Duration UNREADABLE_RETRY_DELAY = Duration.ofSeconds(30);

    private final WireEnvironment environment;
    private final ConfigDeltaCodec deltaCodec;
    private final WireIdentity peer;
    private final Consumer<Frame> frameSender;
    private volatile long peerRevision;
    private volatile long peerDigest;
    private boolean heartbeatReceived;
    private boolean deltaUnreadable;
    private long pushedRevision;
    private long nextRequestNanos;

    ConfigSync(
            WireEnvironment environment, ConfigDeltaCodec deltaCodec, WireIdentity peer, Consumer<Frame> frameSender) {
        this.environment = environment;
        this.deltaCodec = deltaCodec;
        this.peer = peer;
        this.frameSender = frameSender;
        this.nextRequestNanos = environment.time().nanoTime();
    }

    long peerRevision() {
        return peerRevision;
    }

    long peerDigest() {
        return peerDigest;
    }

    /** Sends the objects that are newer than the revision the peer has reported or has already been sent. */
    void pushChanges() {
        ConfigSnapshot local = environment.config().snapshot();
        long since = Math.max(peerRevision, pushedRevision);
        if (!heartbeatReceived || local.revision() <= since) {
            return;
        }
        sendDelta(local, since);
    }

    /** Compares the peer's configuration with the local one and requests the difference if the peer is ahead. */
    void handleHeartbeat(Heartbeat heartbeat) {
        peerRevision = heartbeat.getConfigRevision();
        peerDigest = heartbeat.getConfigDigest();
        heartbeatReceived = true;
        ConfigSnapshot local = environment.config().snapshot();
        adoptConfirmation(heartbeat, local);
        if (peerDigest == local.digest() || peerRevision < local.revision()) {
            return;
        }
        sendRequest(local);
    }

    /** Takes over the time at which a peer with the same configuration knew it to match the object API. */
    private void adoptConfirmation(Heartbeat heartbeat, ConfigSnapshot local) {
        long ageMillisPlusOne = heartbeat.getConfigAgeMillisPlusOne();
        if (ageMillisPlusOne > 0 && peerDigest == local.digest()) {
            long ageNanos = TimeUnit.MILLISECONDS.toNanos(ageMillisPlusOne - 1);
            environment.config().confirm(peerDigest, environment.time().nanoTime() - ageNanos);
        }
    }

    /** Returns the age of the local confirmation plus one, rounded up so that forwarding never lowers it. */
    long ageMillisPlusOne() {
        OptionalLong ageNanos =
                environment.config().confirmedAgeNanos(environment.time().nanoTime());
        return ageNanos.isEmpty() ? 0 : TimeUnit.NANOSECONDS.toMillis(ageNanos.getAsLong()) + 2;
    }

    private void sendRequest(ConfigSnapshot local) {
        long now = environment.time().nanoTime();
        if (now - nextRequestNanos < 0) {
            return;
        }
        nextRequestNanos = now + REQUEST_TIMEOUT.toNanos();
        frameSender.accept(Frame.newBuilder()
                .setConfigRequest(ConfigRequest.newBuilder()
                        .setSinceRevision(local.revision())
                        .setDigest(local.digest())
                        .setFull(peerRevision == local.revision()))
                .build());
    }

    void handleRequest(ConfigRequest request) {
        sendDelta(environment.config().snapshot(), request.getFull() ? 0 : request.getSinceRevision());
    }

    private void sendDelta(ConfigSnapshot local, long since) {
        deltaCodec.encodeSince(local, since).forEach(frameSender);
        pushedRevision = Math.max(pushedRevision, local.revision());
    }

    /** Merges the objects sent by the peer; objects that cannot be decoded are skipped and logged. */
    void handleDelta(ConfigDelta delta) {
        List<ConfigObject> objects = new ArrayList<>(delta.getObjectsCount());
        for (ConfigEntry entry : delta.getObjectsList()) {
            try {
                objects.add(deltaCodec.decode(entry));
                pushedRevision = Math.max(pushedRevision, entry.getVersion());
            } catch (MasticfoldException e) {
                recordRejected(entry, e);
            }
        }
        if (!delta.getMore()) {
            nextRequestNanos = environment.time().nanoTime() + (deltaUnreadable ? UNREADABLE_RETRY_DELAY.toNanos() : 0);
            deltaUnreadable = false;
        }
        environment.config().merge(objects);
    }

    private void recordRejected(ConfigEntry entry, MasticfoldException cause) {
        deltaUnreadable = true;
        environment.telemetry().count("config_object_rejected");
        WireEvent.CONFIG_OBJECT_REJECTED.log(
                LOGGER, entry.getKind(), entry.getName(), entry.getVersion(), peer.process(), cause.getMessage());
    }
}
