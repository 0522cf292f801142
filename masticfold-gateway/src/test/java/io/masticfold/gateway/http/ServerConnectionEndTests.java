package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.TimeSource;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against the end of a server that is reported as another kind of failure, depending on where it ends. */
final class ServerConnectionEndTests {

    private static final String WHOLE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

    /** Longer than a server with an idle connection can take to be noticed as closed. */
    private static final Duration LATE = Duration.ofSeconds(1);

    private final AtomicLong nanos = new AtomicLong();
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient client = new HttpClient(group, new TimeSource() {
        @Override
        public long nanoTime() {
            return nanos.get();
        }

        @Override
        public Instant now() {
            return Instant.EPOCH;
        }
    });
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
    }

    /** How a server ends a connection. */
    enum End {
        CLOSE {
            @Override
            void end(Socket socket) throws IOException {
                socket.close();
            }
        },
        HALF_CLOSE {
            @Override
            void end(Socket socket) throws IOException {
                socket.shutdownOutput();
            }
        },
        RESET {
            @Override
            void end(Socket socket) throws IOException {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        };

        abstract void end(Socket socket) throws IOException;
    }

    @ParameterizedTest
    @CsvSource({
        // written, end, reused, late, expected
        "'', CLOSE, false, false, CLOSED",
        "'', HALF_CLOSE, false, false, CLOSED",
        "'', RESET, false, false, CLOSED",
        "'', CLOSE, true, false, STALE",
        "'', RESET, true, false, STALE",
        "'', CLOSE, true, true, CLOSED",
        "'', RESET, true, true, CLOSED",
        "'HTTP/1.1 20', CLOSE, false, false, CLOSED",
        "'HTTP/1.1 20', RESET, false, false, CLOSED",
        "'HTTP/1.1 20', CLOSE, true, false, CLOSED",
        "'HTTP/1.1 20', CLOSE, true, true, CLOSED",
        "'HTTP/1.1 200 OK|', CLOSE, false, false, CLOSED",
        "'HTTP/1.1 200 OK|', CLOSE, true, false, CLOSED",
        "'HTTP/1.1 200 OK|X-A: b|', CLOSE, false, false, CLOSED",
        "'HTTP/1.1 200 OK|X-A: b|', HALF_CLOSE, false, false, CLOSED",
        "'HTTP/1.1 200 OK|X-A: b|', RESET, false, false, CLOSED",
        "'HTTP/1.1 200 OK|X-A: b|', CLOSE, true, false, CLOSED",
        "'HTTP/1.1 200 OK|X-A', CLOSE, false, false, CLOSED",
        "'HTTP/1.1 103 Early|X-A: b||', CLOSE, false, false, CLOSED",
        "'HTTP/1.1 103 Early|X-A: b||', CLOSE, true, false, CLOSED",
        "'HTTP/1.1 103 Early|X-A: b||HTTP/1.1 200 OK|X-', CLOSE, false, false, CLOSED",
        "'HTTP/1.1 200 OK|Content-Length: 9||', CLOSE, false, false, CLOSED",
        "'HTTP/1.1 200 OK|Content-Length: 9||half', CLOSE, true, false, CLOSED",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||', CLOSE, false, false, CLOSED",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||9|half', CLOSE, false, false, CLOSED",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||4|half|', RESET, false, false, CLOSED",
        "'HTTP/1.1 200 OK|Transfer-Encoding: chunked||0|X-A', CLOSE, false, false, CLOSED",
        "'no answer at all||', CLOSE, false, false, BROKEN",
        "'HTTP/1.1 200 OK|Content-Length: z||', CLOSE, false, false, BROKEN",
    })
    void endOfAServerIsReportedAsAClose(String written, End end, boolean reused, boolean late, ExchangeFailure expected)
            throws Exception {
        serve(written.replace("|", "\r\n"), end, reused, late);
        if (reused) {
            assertThat(exchange().get(5, TimeUnit.SECONDS)).isEqualTo("complete");
            // The connection is returned after the events that are pending on the event loop.
            group.submit(() -> {}).get();
            group.submit(() -> {}).get();
        }
        assertThat(exchange().get(5, TimeUnit.SECONDS)).isEqualTo(expected.name());
        assertThat(client.opened()).isEqualTo(1);
    }

    /** Answers one request wholly if the connection is to be reused; then writes the bytes and ends the connection. */
    private void serve(String written, End end, boolean reused, boolean late) {
        Thread thread = new Thread(() -> {
            try (Socket socket = server.accept()) {
                BufferedReader in =
                        new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
                if (reused) {
                    readRequest(in);
                    socket.getOutputStream().write(WHOLE.getBytes(StandardCharsets.US_ASCII));
                }
                readRequest(in);
                socket.getOutputStream().write(written.getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().flush();
                if (end == End.RESET) {
                    // A reset discards what has not been received yet.
                    Thread.sleep(50);
                }
                nanos.addAndGet(late ? LATE.toNanos() : 0);
                end.end(socket);
                if (end == End.HALF_CLOSE) {
                    readRequest(in);
                }
            } catch (IOException | InterruptedException e) {
                // The client closed the connection; its listener has the result.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static void readRequest(BufferedReader in) throws IOException {
        String line = in.readLine();
        while (line != null && !line.isEmpty()) {
            line = in.readLine();
        }
    }

    private CompletableFuture<String> exchange() {
        CompletableFuture<String> result = new CompletableFuture<>();
        InetSocketAddress address = new InetSocketAddress(server.getInetAddress(), server.getLocalPort());
        group.execute(() -> client.send(
                address,
                BufferedCall.request(HttpMethod.GET, "/x", address, new byte[0]),
                ConnectionChoice.REUSE,
                new ExchangeListener() {
                    @Override
                    public void head(HttpResponse _response, boolean _firstOnConnection) {}

                    @Override
                    public void content(ByteBuf _bytes) {}

                    @Override
                    public void readComplete() {}

                    @Override
                    public void end() {
                        result.complete("complete");
                    }

                    @Override
                    public void failed(ExchangeFailure failure, String _detail) {
                        result.complete(failure.name());
                    }
                }));
        return result;
    }
}
