package io.masticfold.wire;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.UnknownFieldSet;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.wire.proto.Frame;
import io.masticfold.wire.proto.Hello;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards both sides against peers that fail to authenticate, and against bytes that are not frames. */
final class HandshakeTests {

    private static final SharedSecret SECRET = SharedSecret.ofUtf8(EmbeddedPeer.SECRET);

    private static final UnknownFieldSet UNKNOWN_FIELD = UnknownFieldSet.newBuilder()
            .addField(99, UnknownFieldSet.Field.newBuilder().addVarint(1).build())
            .build();

    private final RecordingHandler handler = new RecordingHandler();

    private EmbeddedPeer agent() {
        return new EmbeddedPeer(
                PeerRole.AGENT,
                environment -> peer -> new AgentConnection(
                        environment,
                        new ConfigDeltaCodec(environment.codec()),
                        peer,
                        new WireServer(environment, new InetSocketAddress("127.0.0.1", 0), handler, new Idle(), 1),
                        handler,
                        new Idle()));
    }

    private static EmbeddedPeer entry() {
        return new EmbeddedPeer(PeerRole.ENTRY, _environment -> peer -> {
            throw new AssertionError("authenticated " + peer);
        });
    }

    /** State of an agent without load. */
    private static final class Idle implements AgentState {

        @Override
        public TargetLoad load() {
            return TargetLoad.UNKNOWN;
        }

        @Override
        public boolean leaving() {
            return false;
        }
    }

    private static byte[] entryProof(String secret, Hello mine, Hello theirs) {
        return HandshakeProof.compute(SharedSecret.ofUtf8(secret), PeerRole.ENTRY, mine, theirs);
    }

    /** Guards against an agent that sends its proof to, or accepts, an entry with a different secret. */
    @ParameterizedTest
    @CsvSource({"secret, true", "Secret, false", "other, false"})
    void onlyTheSharedSecretIsAccepted(String secret, boolean accepted) throws IOException {
        EmbeddedPeer agent = agent();
        Hello mine = EmbeddedPeer.hello(PeerRole.ENTRY, 1);
        agent.send(EmbeddedPeer.frame(mine));
        Hello theirs = agent.received().get(0).getHello();
        agent.send(EmbeddedPeer.proof(entryProof(secret, mine, theirs)));
        assertThat(agent.received().stream().map(Frame::getMessageCase))
                .containsExactlyElementsOf(
                        accepted ? List.of(Frame.MessageCase.PROOF, Frame.MessageCase.HEARTBEAT) : List.of());
        assertThat(agent.open()).isEqualTo(accepted);
        assertThat(agent.telemetry.value("handshake_rejected")).isEqualTo(accepted ? 0 : 1);
    }

    /** Guards against the replay of a recorded handshake. */
    @Test
    void replayedHandshakeIsRejected() throws IOException {
        EmbeddedPeer first = agent();
        Hello mine = EmbeddedPeer.hello(PeerRole.ENTRY, 1);
        first.send(EmbeddedPeer.frame(mine));
        Frame recorded = EmbeddedPeer.proof(
                entryProof("secret", mine, first.received().get(0).getHello()));
        first.send(recorded);
        assertThat(first.open()).isTrue();

        EmbeddedPeer second = agent();
        second.send(EmbeddedPeer.frame(mine));
        second.send(recorded);
        assertThat(second.open()).isFalse();
        assertThat(second.telemetry.value("handshake_rejected")).isOne();
    }

    /** Guards against reflection: a peer that sends an entry's own messages back to it. */
    @ParameterizedTest
    @CsvSource({"true, entry, 0", "true, agent, 0", "false, agent, 1"})
    void reflectedHandshakeIsRejected(boolean sameNonce, String role, int proofs) throws IOException {
        EmbeddedPeer entry = entry();
        Hello theirs = entry.received().get(0).getHello();
        Hello reflected = theirs.toBuilder()
                .setRole(role)
                .setNonce(
                        sameNonce
                                ? theirs.getNonce()
                                : EmbeddedPeer.hello(PeerRole.AGENT, 1).getNonce())
                .build();
        entry.send(EmbeddedPeer.frame(reflected));
        List<Frame> answers = entry.received();
        assertThat(answers).hasSize(proofs);
        answers.forEach(entry::send);
        assertThat(entry.open()).isFalse();
        assertThat(entry.telemetry.value("handshake_rejected")).isOne();
    }

    static Stream<Frame> unexpectedFrames() {
        return Stream.of(
                MessageConverter.dispatch(LoopbackFixture.dispatch(1, true, false), 0),
                EmbeddedPeer.heartbeat(),
                EmbeddedPeer.proof(new byte[32]),
                Frame.newBuilder().setUnknownFields(UNKNOWN_FIELD).build(),
                EmbeddedPeer.frame(EmbeddedPeer.hello(PeerRole.AGENT, 1)),
                EmbeddedPeer.frame(EmbeddedPeer.hello(PeerRole.ENTRY, 1).toBuilder()
                        .setProtocol(WireLimits.PROTOCOL_VERSION + 1)
                        .build()),
                EmbeddedPeer.frame(EmbeddedPeer.hello(PeerRole.ENTRY, 1).toBuilder()
                        .clearNonce()
                        .build()),
                EmbeddedPeer.frame(EmbeddedPeer.hello(PeerRole.ENTRY, 1).toBuilder()
                        .clearProcess()
                        .build()));
    }

    /** Guards against a dispatch or any other unexpected frame that is accepted before a valid proof. */
    @ParameterizedTest
    @MethodSource("unexpectedFrames")
    void unexpectedFrameClosesTheConnection(Frame frame) throws IOException {
        EmbeddedPeer agent = agent();
        agent.send(frame);
        assertThat(agent.open()).isFalse();
        assertThat(agent.received()).isEmpty();
        assertThat(agent.telemetry.value("handshake_rejected")).isOne();
        assertThat(handler.dispatches()).isEmpty();
    }

    static Stream<byte[]> malformedBytes() {
        return Stream.of(
                "GET / HTTP/1.1\r\nHost: a\r\n\r\n".getBytes(StandardCharsets.US_ASCII),
                new byte[] {0, 0, 0, 0},
                new byte[] {-1, -1, -1, -1},
                new byte[] {0, 0, 0, 3, 9, 9, 9},
                new byte[] {0, 0x20, 0, 1},
                new byte[] {0, 0, 0, 2, 0x0A, 0x7F});
    }

    /** Guards against malformed frames before and after the handshake. */
    @ParameterizedTest
    @MethodSource("malformedBytes")
    void malformedBytesCloseTheConnection(byte[] bytes) throws IOException {
        EmbeddedPeer before = agent();
        before.sendBytes(Unpooled.wrappedBuffer(bytes));
        assertThat(before.open()).isFalse();
        assertThat(before.telemetry.value("frame_rejected")).isOne();

        EmbeddedPeer after = agent().authenticate();
        after.sendBytes(Unpooled.wrappedBuffer(bytes));
        after.send(MessageConverter.dispatch(LoopbackFixture.dispatch(1, true, false), 0));
        assertThat(after.open()).isFalse();
        assertThat(after.telemetry.value("frame_rejected")).isOne();
        assertThat(handler.dispatches()).isEmpty();
    }

    /** Guards the memory of an agent: an unauthenticated peer must not send frames beyond the handshake limit. */
    @ParameterizedTest
    @CsvSource({"false, 5000, false", "true, 5000, true", "true, 2097152, true", "true, 2097153, false"})
    void frameLimitDependsOnTheHandshake(boolean authenticated, int length, boolean open) throws IOException {
        EmbeddedPeer agent = authenticated ? agent().authenticate() : agent();
        agent.sendBytes(Unpooled.buffer().writeInt(length));
        assertThat(agent.open()).isEqualTo(open);
    }

    /** Guards against connections that stay open without completing the handshake. */
    @Test
    void handshakeTimesOut() {
        EmbeddedPeer agent = agent();
        agent.channel().advanceTimeBy(WireLimits.HANDSHAKE_TIMEOUT.toMillis() - 1, TimeUnit.MILLISECONDS);
        agent.channel().runScheduledPendingTasks();
        assertThat(agent.open()).isTrue();
        agent.channel().advanceTimeBy(1, TimeUnit.MILLISECONDS);
        agent.channel().runScheduledPendingTasks();
        assertThat(agent.open()).isFalse();
        assertThat(agent.telemetry.value("handshake_timed_out")).isOne();
    }

    /** Guards the server: unauthenticated connections, even too many, block entries only while they are open. */
    @Test
    void unauthenticatedConnectionsDoNotDisableTheServer() throws IOException {
        try (LoopbackFixture fixture = new LoopbackFixture("secret", "secret")) {
            InetSocketAddress address = fixture.server.address();
            try (Socket invalid = new Socket(address.getAddress(), address.getPort())) {
                OutputStream out = invalid.getOutputStream();
                out.write(new byte[] {-1, -1, -1, -1});
                out.flush();
                LoopbackFixture.await(
                        "end of the connection", () -> fixture.agentTelemetry.value("frame_rejected") == 1);
            }
            Socket[] idle = new Socket[WireLimits.MAX_UNAUTHENTICATED_CONNECTIONS + 1];
            for (int i = 0; i < idle.length; i++) {
                idle[i] = new Socket(address.getAddress(), address.getPort());
            }
            LoopbackFixture.await("refused connection", () -> fixture.agentTelemetry.value("connection_limit") > 0);
            for (Socket socket : idle) {
                socket.close();
            }
            fixture.entryConfig.merge(List.of(fixture.target(1)));
            fixture.awaitUsable();
        }
    }

    /** Guards against a link that becomes usable although the secrets differ. */
    @Test
    void linkWithDifferentSecretIsNeverUsable() throws IOException {
        try (LoopbackFixture fixture = new LoopbackFixture("other", "secret")) {
            fixture.entryConfig.merge(List.of(fixture.target(1)));
            LoopbackFixture.await(
                    "two connection attempts", () -> fixture.agentTelemetry.value("handshake_rejected") >= 2);
            assertThat(fixture.client.link("t1").usable()).isFalse();
            assertThat(fixture.server.connectedEntries()).isZero();
        }
    }

    /** Guards against a proof that does not cover the role, names, zones, incarnations and nonces. */
    @Test
    void proofCoversRoleAndHelloFields() {
        Hello entry = EmbeddedPeer.hello(PeerRole.ENTRY, 1);
        Hello agent = EmbeddedPeer.hello(PeerRole.AGENT, 2);
        byte[] proof = HandshakeProof.compute(SECRET, PeerRole.ENTRY, entry, agent);
        assertThat(HandshakeProof.verify(proof, SECRET, PeerRole.ENTRY, entry, agent))
                .isTrue();
        assertThat(HandshakeProof.verify(proof, SECRET, PeerRole.AGENT, entry, agent))
                .isFalse();
        assertThat(HandshakeProof.verify(proof, SECRET, PeerRole.ENTRY, agent, entry))
                .isFalse();
        assertThat(Stream.of(
                        entry.toBuilder().setProcess("remote-2").build(),
                        entry.toBuilder().setZone("zone-c").build(),
                        entry.toBuilder().clearIncarnation().build(),
                        EmbeddedPeer.hello(PeerRole.ENTRY, 3)))
                .noneMatch(changed -> HandshakeProof.verify(proof, SECRET, PeerRole.ENTRY, changed, agent));
    }
}
