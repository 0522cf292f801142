package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.forward.RequestLimits;
import io.masticfold.core.time.TimeSource;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against requests that are served although their caller has left, and responses out of order. */
final class HttpServerTests {

    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(500);

    /** Size of a response, more than the buffers of a connection hold. */
    private static final int LONG_BODY_BYTES = 32 * 1024 * 1024;

    private static final String REQUEST = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<String> served = new ArrayList<>();
    private HttpServer server;
    private InetSocketAddress address;

    @BeforeEach
    void start() throws InterruptedException {
        RequestLimits limits = new RequestLimits(1024, 1024, Duration.ofSeconds(3), IDLE_TIMEOUT);
        server = new HttpServer(
                group,
                TimeSource.system(),
                new ReadShares(TimeSource.system()),
                () -> limits,
                this::serve,
                _reason -> {});
        server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        address = server.address();
    }

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private CallerListener serve(CallerRequest request, CallerResponse response) {
        synchronized (served) {
            served.add(request.path());
        }
        if (request.path().startsWith("/stream")) {
            response.start(200, DefaultHttpHeadersFactory.headersFactory().newHeaders());
            response.write(Unpooled.copiedBuffer("event", StandardCharsets.US_ASCII));
        }
        if (request.path().equals("/stream-twice")) {
            response.start(200, DefaultHttpHeadersFactory.headersFactory().newHeaders());
        }
        response.send(
                200,
                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                request.path().equals("/long")
                        ? Unpooled.wrappedBuffer(new byte[LONG_BODY_BYTES])
                        : Unpooled.copiedBuffer("ok", StandardCharsets.US_ASCII));
        return CallerListener.NONE;
    }

    /** A gateway that was paused finds the requests of callers that have given up in its sockets. */
    @RepeatedTest(20)
    void requestOfACallerThatLeftIsNotServed() throws IOException, InterruptedException {
        CountDownLatch paused = new CountDownLatch(1);
        CountDownLatch resumed = new CountDownLatch(1);
        try (Socket kept = new Socket(address.getAddress(), address.getPort())) {
            kept.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
            assertThat(kept.getInputStream().read()).isEqualTo('H');
            group.execute(() -> {
                paused.countDown();
                awaitQuietly(resumed);
            });
            paused.await();
            kept.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        }
        try (Socket fresh = new Socket(address.getAddress(), address.getPort())) {
            fresh.getOutputStream().write(REQUEST.getBytes(StandardCharsets.US_ASCII));
        }
        Thread.sleep(5);
        resumed.countDown();
        try (Socket last = new Socket(address.getAddress(), address.getPort())) {
            last.getOutputStream().write(REQUEST.replace("/x", "/last").getBytes(StandardCharsets.US_ASCII));
            assertThat(last.getInputStream().read()).isEqualTo('H');
        }
        synchronized (served) {
            assertThat(served).containsExactly("/x", "/last");
        }
    }

    /** A malformed request behind a valid one in the same packet must not be answered first. */
    @Test
    void requestReadBeforeAMalformedOneIsAnsweredFirst() throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.getOutputStream()
                    .write((REQUEST + "GET /y HTTP/1.1\r\nContent-Length: z\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            String answers = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
            assertThat(answers).startsWith("HTTP/1.1 200 ").contains("okHTTP/1.1 400 ");
        }
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"/stream-then-whole", "/stream-twice"})
    void secondResponseIsWrittenIntoTheBodyOfAStream(String path) throws IOException {
        StringBuilder text = new StringBuilder();
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.setSoTimeout(5000);
            caller.getOutputStream().write(REQUEST.replace("/x", path).getBytes(StandardCharsets.US_ASCII));
            for (int next = caller.getInputStream().read();
                    next >= 0;
                    next = caller.getInputStream().read()) {
                text.append((char) next);
            }
        } catch (IOException e) {
            text.append("<reset>");
        }

        assertThat(text.toString()).endsWith("<reset>").doesNotContain("ok");
        assertThat(text.toString().split("HTTP/1.1", -1).length - 1).isLessThanOrEqualTo(1);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void responseThatItsCallerReadsSlowlyIsCutSinceItsConnectionSeemsIdle(boolean stopping)
            throws IOException, InterruptedException {
        long received = 0;
        try (Socket caller = new Socket(address.getAddress(), address.getPort())) {
            caller.setSoTimeout(5000);
            caller.getOutputStream().write(REQUEST.replace("/x", "/long").getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(IDLE_TIMEOUT.multipliedBy(2).toMillis());
            if (stopping) {
                group.next().submit(() -> server.closeIdleFor(Duration.ZERO)).sync();
            }
            byte[] buffer = new byte[65536];
            for (int length = 0; length >= 0; length = caller.getInputStream().read(buffer)) {
                received += length;
            }
        }
        assertThat(received).isGreaterThan(LONG_BODY_BYTES);
    }
}
