package io.masticfold.wire;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.model.ZoneState;
import io.masticfold.wire.proto.ConfigEntry;
import io.masticfold.wire.proto.Frame;
import io.masticfold.wire.proto.Heartbeat;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Guards the replication of configuration against lost frames, reordered changes and gaps. */
final class ConfigSyncProperties {

    private static final int LOSSLESS_ROUNDS = 4;

    private final MutableTime time = new MutableTime();
    private final TestSpecCodec codec = new TestSpecCodec();

    /** One process with the frames it has sent that are not delivered yet. */
    private final class Side {

        private final ConfigReplica config = new ConfigReplica();
        private final Deque<Frame> outbox = new ArrayDeque<>();
        private final ConfigSync sync;

        Side(PeerRole role) {
            WireIdentity identity = new WireIdentity(role.code(), "zone-a", role, EmbeddedPeer.REMOTE);
            WireEnvironment environment = new WireEnvironment(
                    identity,
                    SharedSecret.ofUtf8("secret"),
                    config,
                    codec,
                    QuotaExchange.NONE,
                    time,
                    new CountingTelemetry());
            sync = new ConfigSync(environment, new ConfigDeltaCodec(codec), identity, outbox::add);
        }

        void sendHeartbeat() {
            ConfigSnapshot snapshot = config.snapshot();
            outbox.add(Frame.newBuilder()
                    .setHeartbeat(Heartbeat.newBuilder()
                            .setConfigRevision(snapshot.revision())
                            .setConfigDigest(snapshot.digest()))
                    .build());
        }

        void receive(Frame frame) {
            switch (frame.getMessageCase()) {
                case HEARTBEAT -> sync.handleHeartbeat(frame.getHeartbeat());
                case CONFIG_REQUEST -> sync.handleRequest(frame.getConfigRequest());
                case CONFIG_DELTA -> sync.handleDelta(frame.getConfigDelta());
                default -> throw new AssertionError("unexpected " + frame);
            }
        }
    }

    /**
     * Guards against configurations that stay different although heartbeats are delivered again. Each step merges an
     * object at one side, with or without pushing it, sends a heartbeat, or delivers or drops the frames sent.
     */
    @Property(seed = "23", tries = 400)
    void sidesBecomeEqual(@ForAll @Size(max = 40) List<@IntRange(max = 99) Integer> steps) {
        Side entry = new Side(PeerRole.ENTRY);
        Side agent = new Side(PeerRole.AGENT);
        int version = 0;
        for (int step : steps) {
            Side side = step % 2 == 0 ? entry : agent;
            Side other = step % 2 == 0 ? agent : entry;
            version++;
            if (step < 50) {
                side.config.merge(List.of(zone(step % 7, version)));
                if (step < 30) {
                    side.sync.pushChanges();
                }
            } else if (step < 70) {
                side.sendHeartbeat();
            } else if (step < 90) {
                deliver(side, other);
            } else {
                side.outbox.clear();
            }
        }
        for (int i = 0; i < LOSSLESS_ROUNDS; i++) {
            time.advance(Duration.ofSeconds(2));
            entry.sendHeartbeat();
            agent.sendHeartbeat();
            while (!entry.outbox.isEmpty() || !agent.outbox.isEmpty()) {
                deliver(entry, agent);
                deliver(agent, entry);
            }
        }
        assertThat(agent.config.snapshot().digest())
                .isEqualTo(entry.config.snapshot().digest());
        assertThat(entry.sync.peerDigest()).isEqualTo(agent.config.snapshot().digest());
    }

    private static void deliver(Side from, Side to) {
        for (int count = from.outbox.size(); count > 0; count--) {
            to.receive(from.outbox.remove());
        }
    }

    private static ConfigObject zone(int name, long version) {
        return LoopbackFixture.zone("zone-" + name, version, ZoneState.IN);
    }

    /** Guards against frames beyond the size limit, and against gaps when the link is lost in the middle of a delta. */
    @Test
    void largeDeltaIsSplitInOrderOfVersions() {
        List<ConfigObject> objects = new ArrayList<>();
        for (int i = 1; i <= 12_000; i++) {
            objects.add(LoopbackFixture.target("t" + i, i, 1 + i));
        }
        List<Frame> frames = new ConfigDeltaCodec(codec).encodeSince(ConfigSnapshot.EMPTY.merge(objects), 1_000);
        assertThat(frames).hasSizeGreaterThan(1).allMatch(frame -> frame.getSerializedSize() < 1024 * 1024);
        assertThat(frames.subList(0, frames.size() - 1))
                .allMatch(frame -> frame.getConfigDelta().getMore());
        assertThat(frames.get(frames.size() - 1).getConfigDelta().getMore()).isFalse();
        assertThat(frames.stream().flatMap(frame -> frame.getConfigDelta().getObjectsList().stream()))
                .hasSize(11_000)
                .isSortedAccordingTo(Comparator.comparingLong(ConfigEntry::getVersion));
    }

    /** Guards against a request at every heartbeat to a peer whose objects this version cannot decode. */
    @Test
    void undecodableObjectsAreNotRequestedAtEveryHeartbeat() {
        Side entry = new Side(PeerRole.ENTRY);
        Heartbeat ahead =
                Heartbeat.newBuilder().setConfigRevision(9).setConfigDigest(1).build();
        entry.sync.handleHeartbeat(ahead);
        assertThat(entry.outbox).hasSize(1);
        Frame.Builder delta = Frame.newBuilder();
        delta.getConfigDeltaBuilder()
                .addObjects(
                        ConfigEntry.newBuilder().setKind("zone").setName("a").setVersion(9));
        entry.receive(delta.build());
        for (int i = 0; i < 20; i++) {
            time.advance(WireLimits.HEARTBEAT_INTERVAL);
            entry.sync.handleHeartbeat(ahead);
        }
        assertThat(entry.outbox).hasSize(1);
    }
}
