package io.masticfold.wire;

import com.google.protobuf.ByteString;
import io.masticfold.core.time.Cancellable;
import io.masticfold.wire.proto.Frame;
import io.masticfold.wire.proto.Hello;
import io.masticfold.wire.proto.Proof;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Performs the mutual authentication of a new connection. The entry sends its hello and its proof first; the agent
 * sends its proof only after it has verified the entry's, so that an unauthenticated peer never obtains a proof. Any
 * unexpected frame closes the connection.
 */
final class HandshakeHandler extends SimpleChannelInboundHandler<Frame> {

    private static final Logger LOGGER = LoggerFactory.getLogger(HandshakeHandler.class);
    private static final SecureRandom RANDOM = new SecureRandom();

    private final WireEnvironment environment;
    private final ConnectionFactory factory;
    private final Hello ownHello;
    private @Nullable Hello peerHello;
    private long proofSentNanos;
    private Cancellable timeout = Cancellable.NONE;

    HandshakeHandler(WireEnvironment environment, ConnectionFactory factory) {
        super(Frame.class);
        this.environment = environment;
        this.factory = factory;
        this.ownHello = createHello(environment.identity());
    }

    private static Hello createHello(WireIdentity identity) {
        byte[] nonce = new byte[WireLimits.NONCE_BYTES];
        RANDOM.nextBytes(nonce);
        return Hello.newBuilder()
                .setProtocol(WireLimits.PROTOCOL_VERSION)
                .setProcess(identity.process())
                .setRole(identity.role().code())
                .setZone(identity.zone())
                .setIncarnation(MessageConverter.incarnation(identity.incarnation()))
                .setNonce(ByteString.copyFrom(nonce))
                .build();
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        long millis = WireLimits.HANDSHAKE_TIMEOUT.toMillis();
        Future<?> scheduled = ctx.executor().schedule(() -> handleTimeout(ctx, millis), millis, TimeUnit.MILLISECONDS);
        timeout = () -> scheduled.cancel(false);
        if (role() == PeerRole.ENTRY) {
            sendHello(ctx);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        timeout.cancel();
        ctx.fireChannelInactive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Frame frame) {
        switch (frame.getMessageCase()) {
            case HELLO -> handleHello(ctx, frame.getHello());
            case PROOF -> handleProof(ctx, frame.getProof());
            default -> reject(ctx, "unexpected frame " + frame.getMessageCase());
        }
    }

    private void handleHello(ChannelHandlerContext ctx, Hello hello) {
        Optional<String> error = validate(hello);
        if (error.isPresent()) {
            reject(ctx, error.get());
            return;
        }
        peerHello = hello;
        if (role() == PeerRole.AGENT) {
            sendHello(ctx);
        } else {
            sendProof(ctx);
        }
    }

    private Optional<String> validate(Hello hello) {
        if (peerHello != null) {
            return Optional.of("duplicate hello");
        }
        if (hello.getProtocol() != WireLimits.PROTOCOL_VERSION) {
            return Optional.of("protocol " + hello.getProtocol());
        }
        if (PeerRole.ofCode(hello.getRole()).filter(role().opposite()::equals).isEmpty()) {
            return Optional.of("unexpected role '" + hello.getRole() + "'");
        }
        if (hello.getNonce().size() != WireLimits.NONCE_BYTES
                || hello.getNonce().equals(ownHello.getNonce())) {
            return Optional.of(
                    "invalid or reflected nonce of " + hello.getNonce().size() + " bytes");
        }
        if (hello.getProcess().isEmpty() || hello.getProcess().length() > WireLimits.MAX_NAME_CHARS) {
            return Optional.of(
                    "invalid process name length: " + hello.getProcess().length() + " characters");
        }
        return Optional.empty();
    }

    private void handleProof(ChannelHandlerContext ctx, Proof proof) {
        Hello remoteHello = peerHello;
        if (remoteHello == null) {
            reject(ctx, "proof before hello");
            return;
        }
        byte[] hmac = proof.getHmac().toByteArray();
        PeerRole prover = role().opposite();
        if (!HandshakeProof.verify(
                hmac, environment.secret(), prover, entryHello(remoteHello), agentHello(remoteHello))) {
            reject(ctx, "invalid proof from '" + remoteHello.getProcess() + "'");
            return;
        }
        if (role() == PeerRole.AGENT) {
            sendProof(ctx);
        }
        complete(ctx, remoteHello);
    }

    private void complete(ChannelHandlerContext ctx, Hello remoteHello) {
        timeout.cancel();
        long roundTrip = role() == PeerRole.ENTRY ? environment.time().nanoTime() - proofSentNanos : 0;
        WireIdentity identity = new WireIdentity(
                remoteHello.getProcess(),
                remoteHello.getZone(),
                role().opposite(),
                MessageConverter.incarnation(remoteHello.getIncarnation()));
        ctx.pipeline().get(FrameDecoder.class).allowLargeFrames();
        ctx.pipeline().replace(this, "connection", factory.create(new Peer(identity, roundTrip)));
    }

    private void sendHello(ChannelHandlerContext ctx) {
        ctx.writeAndFlush(Frame.newBuilder().setHello(ownHello).build(), ctx.voidPromise());
    }

    private void sendProof(ChannelHandlerContext ctx) {
        Hello remoteHello = peerHello;
        if (remoteHello == null) {
            return;
        }
        byte[] hmac =
                HandshakeProof.compute(environment.secret(), role(), entryHello(remoteHello), agentHello(remoteHello));
        proofSentNanos = environment.time().nanoTime();
        ctx.writeAndFlush(
                Frame.newBuilder()
                        .setProof(Proof.newBuilder().setHmac(ByteString.copyFrom(hmac)))
                        .build(),
                ctx.voidPromise());
    }

    private Hello entryHello(Hello remoteHello) {
        return role() == PeerRole.ENTRY ? ownHello : remoteHello;
    }

    private Hello agentHello(Hello remoteHello) {
        return role() == PeerRole.AGENT ? ownHello : remoteHello;
    }

    private PeerRole role() {
        return environment.identity().role();
    }

    private void handleTimeout(ChannelHandlerContext ctx, long millis) {
        environment.telemetry().count("handshake_timed_out");
        WireEvent.HANDSHAKE_TIMED_OUT.log(LOGGER, ctx.channel().remoteAddress(), millis);
        ctx.close();
    }

    private void reject(ChannelHandlerContext ctx, String reason) {
        environment.telemetry().count("handshake_rejected");
        WireEvent.HANDSHAKE_REJECTED.log(LOGGER, ctx.channel().remoteAddress(), reason);
        ctx.close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ConnectionErrors.closeOnError(ctx, environment.telemetry(), cause);
    }
}
