package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.forward.RequestLimits;
import io.masticfold.core.memory.MemoryAccount;
import io.masticfold.core.time.TimeSource;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bodies and unsent output of callers that are not counted, not bounded, or never released. */
final class CallerMemoryTests {

    private static final int LIMIT = 8 * 1024 * 1024;
    private static final int MAX_BODY_BYTES = 1024 * 1024;
    private static final Duration HEADER_TIMEOUT = Duration.ofMillis(400);
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(10);

    /** Size of a response that the buffers of a connection cannot hold. */
    private static final int LONG_BODY_BYTES = 6 * 1024 * 1024;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final MemoryAccount account = new MemoryAccount(LIMIT);
    private final List<ShedReader> shed = new CopyOnWriteArrayList<>();
    private final List<String> served = new CopyOnWriteArrayList<>();
    private final List<Socket> callers = new ArrayList<>();
    private HttpServer server;

    @BeforeEach
    void start() throws InterruptedException {
        RequestLimits limits = new RequestLimits(1024, MAX_BODY_BYTES, HEADER_TIMEOUT, Duration.ofSeconds(5));
        RequestHandler handler = new RequestHandler() {
            @Override
            public CallerListener handle(CallerRequest request, CallerResponse response) {
                return serve(request, response);
            }

            @Override
            public String workspace(HttpHeaders headers) {
                return headers.get("workspace", "");
            }
        };
        server = new HttpServer(
                group,
                TimeSource.system(),
                new ReadShares(TimeSource.system()),
                () -> limits,
                handler,
                _reason -> {},
                new CallerMemory(account, shed::add));
        server.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    @AfterEach
    void stop() throws IOException {
        for (Socket caller : callers) {
            caller.close();
        }
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    private CallerListener serve(CallerRequest request, CallerResponse response) {
        served.add(request.path() + " " + request.body().length);
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        switch (request.path()) {
            case "/hang" -> {
                return CallerListener.NONE;
            }
            case "/long" -> response.send(200, headers, Unpooled.wrappedBuffer(new byte[LONG_BODY_BYTES]));
            default -> response.send(200, headers, Unpooled.copiedBuffer("ok", StandardCharsets.US_ASCII));
        }
        return CallerListener.NONE;
    }

    private <T> T onLoop(Callable<T> task) throws Exception {
        return group.next().submit(task).get();
    }

    private void awaitHeld(long bytes) throws Exception {
        long end = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (onLoop(account::inUseBytes) != bytes && System.nanoTime() < end) {
            Thread.sleep(5);
        }
        assertThat(onLoop(account::inUseBytes)).isEqualTo(bytes);
    }

    private Socket connect() throws IOException {
        Socket caller =
                new Socket(server.address().getAddress(), server.address().getPort());
        caller.setSoTimeout((int) AWAIT_TIMEOUT.toMillis());
        callers.add(caller);
        return caller;
    }

    private static void write(Socket caller, String path, int length, int sent, String headers) throws IOException {
        String head = "POST " + path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + length + "\r\n" + headers + "\r\n";
        caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
        caller.getOutputStream().write(new byte[sent]);
    }

    /** Reads until the given text has come or the connection ends. */
    private static String readUntil(Socket caller, String end) throws IOException {
        StringBuilder text = new StringBuilder();
        InputStream in = caller.getInputStream();
        for (int next = in.read(); next >= 0; next = in.read()) {
            text.append((char) next);
            if (text.toString().endsWith(end)) {
                break;
            }
        }
        return text.toString();
    }

    private void fill(String workspace, long bytes) throws Exception {
        onLoop(() -> {
            account.add(workspace, bytes);
            return 0;
        });
    }

    @Test
    void bodyIsReadBeforeItsRequestIsRejected() throws Exception {
        fill("other", LIMIT);
        Socket caller = connect();

        write(caller, "/a", 1000, 0, "");
        String answer = readUntil(caller, "\r\n\r\n");
        caller.getOutputStream().write(new byte[1000]);
        write(caller, "/next", 0, 0, "");

        assertThat(answer).startsWith("HTTP/1.1 503").contains("retry-after: ").doesNotContain("close");
        assertThat(readUntil(caller, "ok")).startsWith("HTTP/1.1 200");
        assertThat(served).containsExactly("/next 0");
    }

    @Test
    void callerIsToldToSendABodyThatIsRejected() throws Exception {
        fill("other", LIMIT);
        Socket caller = connect();

        write(caller, "/a", 1000, 0, "Expect: 100-continue\r\n");

        assertThat(readUntil(caller, "end of the connection"))
                .startsWith("HTTP/1.1 503")
                .contains("connection: close");
    }

    @Test
    void workspaceThatHoldsMuchIsServedWhileOneThatHoldsLittleIsRejected() throws Exception {
        fill("much", LIMIT / 2);
        Socket much = connect();
        Socket little = connect();

        write(much, "/a", MAX_BODY_BYTES, 0, "workspace: much\r\n");
        write(little, "/a", MAX_BODY_BYTES, MAX_BODY_BYTES, "workspace: little\r\n");

        assertThat(readUntil(much, "\r\n")).startsWith("HTTP/1.1 503");
        assertThat(readUntil(little, "\r\n")).startsWith("HTTP/1.1 200");
    }

    @Test
    void bodyBegunWaitsLongerThanItsTimeoutForMemory() throws Exception {
        Socket caller = connect();
        write(caller, "/a", MAX_BODY_BYTES, 1000, "");
        awaitHeld(MAX_BODY_BYTES);
        fill("other", LIMIT);

        caller.getOutputStream().write(new byte[10]);

        assertThat(readUntil(caller, "\r\n")).startsWith("HTTP/1.1 503");
        awaitHeld(LIMIT);
    }

    /** The memory of a body must not stay reserved however its connection ends. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void closedConnectionHoldsMemory(boolean reset) throws Exception {
        for (int i = 0; i < 4; i++) {
            Socket caller = connect();
            write(caller, "/hang", 10_000, 10_000, "workspace: w" + i + "\r\n");
            write(caller, "/waits", 20_000, 20_000, "");
            write(caller, "/incomplete", 30_000, 1000, "");
        }
        awaitHeld(4 * (10_000 + 20_000 + 30_000));

        for (Socket caller : callers) {
            if (reset) {
                caller.setSoLinger(true, 0);
            }
            caller.close();
        }

        awaitHeld(0);
        assertThat(onLoop(account::errors)).isZero();
        assertThat(onLoop(account::holders)).isZero();
    }

    /** Thirty bodies were all begun, since what they had announced was not counted, and then filled the account. */
    @Test
    void bodiesThatAreBegunTogetherFillTheAccount() throws Exception {
        int rejected = 0;
        for (int i = 0; i < 30; i++) {
            write(connect(), "/a", MAX_BODY_BYTES, 10, "workspace: w\r\n");
        }
        Thread.sleep(HEADER_TIMEOUT.toMillis() / 4);

        assertThat(onLoop(account::inUseBytes)).isBetween((long) MAX_BODY_BYTES, (long) LIMIT / 2);
        for (Socket caller : callers) {
            rejected += readUntil(caller, "\r\n").startsWith("HTTP/1.1 503") ? 1 : 0;
        }
        assertThat(rejected).isBetween(26, 29);
        awaitHeld(0);
    }

    @Test
    void servedRequestHoldsMemory() throws Exception {
        Socket caller = connect();
        for (int i = 0; i < 20; i++) {
            write(caller, "/a", 10_000, 10_000, "");
            readUntil(caller, "ok");
        }

        awaitHeld(0);
        assertThat(onLoop(account::errors)).isZero();
    }

    /** Callers that do not read hold their whole responses in the process. */
    @Test
    void unsentOutputOfCallersThatDoNotReadExceedsTheLimit() throws Exception {
        for (int i = 0; i < 6; i++) {
            write(connect(), "/long", 0, 0, "workspace: w\r\n");
        }
        long end = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (shed.size() < 5 && System.nanoTime() < end) {
            Thread.sleep(5);
        }

        assertThat(shed).hasSizeBetween(5, 6).allSatisfy(reader -> {
            assertThat(reader.workspace()).isEqualTo("w");
            assertThat(reader.unsentBytes()).isPositive();
        });
        assertThat(onLoop(account::inUseBytes)).isLessThanOrEqualTo((long) LIMIT);
        for (Socket caller : callers) {
            caller.close();
        }
        awaitHeld(0);
    }

    @Test
    void callerThatReadsIsShedBeforeOneThatDoesNot() throws Exception {
        Socket stalled = connect();
        Socket reading = connect();
        write(stalled, "/long", 0, 0, "workspace: stalled\r\n");
        write(reading, "/long", 0, 0, "workspace: reading\r\n");
        readUntil(reading, "\r\n\r\n");
        byte[] body = reading.getInputStream().readNBytes(LONG_BODY_BYTES);

        assertThat(body).hasSize(LONG_BODY_BYTES);
        assertThat(shed).extracting(ShedReader::workspace).doesNotContain("reading");
    }
}
