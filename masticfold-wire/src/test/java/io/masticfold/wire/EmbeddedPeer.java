package io.masticfold.wire;

import com.google.protobuf.ByteString;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.wire.proto.Frame;
import io.masticfold.wire.proto.Heartbeat;
import io.masticfold.wire.proto.Hello;
import io.masticfold.wire.proto.Proof;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Runs one side of a connection on an embedded channel; the test acts as the other side, frame by frame. */
final class EmbeddedPeer {

    static final String SECRET = "secret";
    static final Incarnation REMOTE = new Incarnation(5, 6);

    final MutableTime time = new MutableTime();
    final CountingTelemetry telemetry = new CountingTelemetry();
    final ConfigReplica config = new ConfigReplica();
    final HeldWrites writes = new HeldWrites();
    private final PeerRole role;
    private final EmbeddedChannel channel;

    /** Creates the side with the given role; the factory creates its connection after the handshake. */
    EmbeddedPeer(PeerRole role, FactorySource factories) {
        this.role = role;
        WireEnvironment environment = new WireEnvironment(
                new WireIdentity(
                        role.code() + "-1",
                        "zone-a",
                        role,
                        role == PeerRole.ENTRY ? LoopbackFixture.ENTRY : LoopbackFixture.AGENT),
                SharedSecret.ofUtf8(SECRET),
                config,
                new TestSpecCodec(),
                QuotaExchange.NONE,
                time,
                telemetry);
        channel = new EmbeddedChannel(
                new ChannelHandler[] {writes, new WireChannelInitializer(environment, factories.factory(environment))});
        channel.config()
                .setWriteBufferWaterMark(new WriteBufferWaterMark(
                        WireLimits.WRITE_BUFFER_LOW_WATER_BYTES, WireLimits.WRITE_BUFFER_HIGH_WATER_BYTES));
    }

    /** Supplies the connection factory of the side under test. */
    @FunctionalInterface
    interface FactorySource {

        /** Returns the factory for an environment. */
        ConnectionFactory factory(WireEnvironment environment);
    }

    EmbeddedChannel channel() {
        return channel;
    }

    boolean open() {
        channel.runPendingTasks();
        return channel.isOpen();
    }

    /** Delivers a frame to the side under test. */
    void send(Frame frame) {
        byte[] bytes = frame.toByteArray();
        sendBytes(Unpooled.buffer().writeInt(bytes.length).writeBytes(bytes));
    }

    /** Delivers bytes, even after the side under test has closed the channel, as bytes in transit would arrive. */
    void sendBytes(ByteBuf bytes) {
        channel.pipeline().fireChannelRead(bytes);
        channel.pipeline().fireChannelReadComplete();
        channel.runPendingTasks();
    }

    /** Returns the frames the side under test has sent since the last call. */
    List<Frame> received() throws IOException {
        channel.runPendingTasks();
        List<Frame> frames = new ArrayList<>();
        ByteBuf next = channel.readOutbound();
        while (next != null) {
            frames.add(Frame.parseFrom(next.skipBytes(Integer.BYTES).nioBuffer()));
            next.release();
            next = channel.readOutbound();
        }
        return frames;
    }

    static Hello hello(PeerRole role, int nonce) {
        return Hello.newBuilder()
                .setProtocol(WireLimits.PROTOCOL_VERSION)
                .setProcess("remote-1")
                .setRole(role.code())
                .setZone("zone-b")
                .setIncarnation(MessageConverter.incarnation(REMOTE))
                .setNonce(ByteString.copyFrom(new byte[WireLimits.NONCE_BYTES - 1])
                        .concat(ByteString.copyFrom(new byte[] {(byte) nonce})))
                .build();
    }

    static Frame frame(Hello hello) {
        return Frame.newBuilder().setHello(hello).build();
    }

    static Frame proof(byte[] hmac) {
        return Frame.newBuilder()
                .setProof(Proof.newBuilder().setHmac(ByteString.copyFrom(hmac)))
                .build();
    }

    static Frame heartbeat() {
        return Frame.newBuilder()
                .setHeartbeat(Heartbeat.newBuilder().setLoad(MessageConverter.load(LoopbackFixture.LOAD)))
                .build();
    }

    /** Performs the handshake as the other side and discards the frames sent so far. */
    EmbeddedPeer authenticate() throws IOException {
        PeerRole other = role.opposite();
        Hello mine = hello(other, 1);
        send(frame(mine));
        Hello theirs = received().get(0).getHello();
        byte[] hmac = other == PeerRole.ENTRY
                ? HandshakeProof.compute(SharedSecret.ofUtf8(SECRET), other, mine, theirs)
                : HandshakeProof.compute(SharedSecret.ofUtf8(SECRET), other, theirs, mine);
        send(proof(hmac));
        received();
        return this;
    }
}
