package io.masticfold.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.http.EventLoopScheduler;
import io.masticfold.gateway.peer.proto.PeerFrame;
import io.masticfold.gateway.peer.proto.PeerHello;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards against connections that outlive their peer, and against another gateway that is heard in its place. */
final class PeerLinkTests {

    private static final int TIMEOUT_MILLIS = 5_000;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    private ServerSocket server;
    private PeerLinks links;
    private PeerLink link;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        server.setSoTimeout(TIMEOUT_MILLIS);
        EventLoop loop = group.next();
        links = new PeerLinks(
                group,
                new EventLoopScheduler(loop, TimeSource.system()),
                "g0",
                List::of,
                List.of(),
                new RecordingListener());
        link = new PeerLink(
                "g1", new InetSocketAddress(server.getInetAddress(), server.getLocalPort()), links, links.nowNanos());
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private Socket connect(boolean retire) throws IOException {
        group.next().execute(() -> {
            link.connect(group, links.nowNanos());
            if (retire) {
                link.retire();
            }
        });
        Socket socket = server.accept();
        socket.setSoTimeout(TIMEOUT_MILLIS);
        return socket;
    }

    private static void write(Socket socket, PeerFrame frame) throws IOException {
        OutputStream out = socket.getOutputStream();
        frame.writeDelimitedTo(out);
        out.flush();
    }

    private static PeerFrame hello(String node) {
        return PeerFrame.newBuilder()
                .setHello(PeerHello.newBuilder().setNode(node))
                .build();
    }

    private static PeerFrame status() {
        return PeerFrame.newBuilder().setStatus(PeerStatus.newBuilder()).build();
    }

    @Test
    void connectionThatOpensAfterItsPeerIsGoneIsClosed() throws IOException {
        try (Socket socket = connect(true)) {
            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    void framesOfAnotherGatewayAtThePeersAddressAreNotHeard() throws IOException, InterruptedException {
        try (Socket socket = connect(false)) {
            write(socket, hello("g2"));
            write(socket, status());

            assertThat(heard.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("g1 is g2");
            assertThat(heard.poll(200, TimeUnit.MILLISECONDS)).isNull();
            assertThat(link.connected()).isFalse();
        }
    }

    @Test
    void framesOfThePeerAreHeard() throws IOException, InterruptedException {
        try (Socket socket = connect(false)) {
            write(socket, hello("g1"));
            write(socket, status());

            assertThat(heard.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("g1 hello");
            assertThat(heard.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("g1 status");
        }
    }

    @Test
    void peerOfAnEarlierReleaseThatDoesNotNameItselfIsHeard() throws IOException, InterruptedException {
        try (Socket socket = connect(false)) {
            write(socket, status());

            assertThat(heard.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("g1 status");
        }
    }

    @Test
    void silentConnectionIsDueToBeClosed() throws IOException, InterruptedException {
        try (Socket socket = connect(false)) {
            write(socket, hello("g1"));
            assertThat(heard.poll(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)).isEqualTo("g1 hello");

            long later = links.nowNanos() + Duration.ofMillis(601).toNanos();
            assertThat(link.silent(later, PeerLinks.SILENCE_TIMEOUT.toNanos())).isTrue();
        }
    }

    private final class RecordingListener implements PeerListener {

        @Override
        public void responseReceived(String peer, PeerFrame frame) {
            heard.add(peer + (frame.hasHello() ? " hello" : " status"));
        }

        @Override
        public void peerMismatch(String peer, String found) {
            heard.add(peer + " is " + found);
        }

        @Override
        public void connectionLost(String _peer) {}

        @Override
        public void requestReceived(PeerCaller _caller, PeerFrame _frame) {}

        @Override
        public void callerDisconnected(PeerCaller _caller) {}
    }
}
