package io.masticfold.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.PeerHello;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.peer.proto.PoolCommitment;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against frames that peers cannot decode, or that overtake others, because they pass by the codec. */
final class EncodedFrameTests {

    /** The sizes give length prefixes of one, two and three bytes. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 100, 5_000})
    void everyConnectionGetsTheFrameInOrder(int commitments) {
        PeerFrame first = PeerFrame.newBuilder()
                .setHello(PeerHello.newBuilder().setNode("g1"))
                .build();
        PeerStatus.Builder status = PeerStatus.newBuilder();
        for (int i = 0; i < commitments; i++) {
            status.addCommitments(
                    PoolCommitment.newBuilder().setPool("pool" + i).setPieces(i));
        }
        PeerFrame broadcast = PeerFrame.newBuilder().setStatus(status).build();
        List<EmbeddedChannel> senders = List.of(channel(), channel());

        senders.forEach(sender -> sender.writeOutbound(first));
        try (EncodedFrame encoded = new EncodedFrame(broadcast)) {
            senders.forEach(encoded::sendTo);
        }
        senders.forEach(sender -> sender.writeOutbound(first));

        for (EmbeddedChannel sender : senders) {
            assertThat(receive(sender)).containsExactly(first, broadcast, first);
        }
    }

    /** Sends what was written on one connection to another one and returns the frames decoded there. */
    private static List<PeerFrame> receive(EmbeddedChannel sender) {
        EmbeddedChannel receiver = channel();
        for (ByteBuf written = sender.readOutbound(); written != null; written = sender.readOutbound()) {
            receiver.writeInbound(written);
        }
        List<PeerFrame> frames = new ArrayList<>();
        for (PeerFrame frame = receiver.readInbound(); frame != null; frame = receiver.readInbound()) {
            frames.add(frame);
        }
        return frames;
    }

    private static EmbeddedChannel channel() {
        return new EmbeddedChannel(new PeerChannelInitializer(ChannelInboundHandlerAdapter::new));
    }
}
