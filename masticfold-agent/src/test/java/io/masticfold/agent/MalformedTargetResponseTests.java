package io.masticfold.agent;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.time.TimeSource;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes of a target that are no response in HTTP/1.1 and that are returned as its result. */
final class MalformedTargetResponseTests {

    private static final Duration BUDGET = Duration.ofSeconds(5);

    private final AgentEventLoop loop = new AgentEventLoop("test");
    private ServerSocket server;

    @BeforeEach
    void start() throws IOException {
        loop.start();
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws IOException {
        server.close();
        loop.stop();
    }

    private void answer(String row) {
        Thread thread = new Thread(() -> {
            try (Socket socket = server.accept()) {
                InputStream in = socket.getInputStream();
                int matched = 0;
                while (matched < 4) {
                    int next = in.read();
                    matched = next == "\r\n\r\n".charAt(matched) ? matched + 1 : next == '\r' ? 1 : 0;
                }
                in.readNBytes(2);
                String text = row.replace("|", "\r\n").replace("{B}", "\b").replace("{N}", "\0");
                socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            } catch (IOException e) {
                // The client closed the connection; its listener has the outcome.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private String outcome(String row) throws Exception {
        answer(row);
        HttpTargetClient client = new HttpTargetClient(
                loop.eventloop(),
                "t1",
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                TimeSource.system());
        RecordingTargetListener listener = new RecordingTargetListener();
        client.call(dispatch(), BUDGET, listener);
        return listener.awaitOutcome();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 000 X|Content-Length: 2||{}",
                "HTTP/1.1 20 X|Content-Length: 2||{}",
                "HTTP/1.1 2000 X|Content-Length: 2||{}",
                "HTTP/2.0 200 X|Content-Length: 2||{}",
                "HTTP/1.1 200 OK|X A: b|Content-Length: 2||{}",
                "HTTP/1.1 200 OK|X{N}A: b|Content-Length: 2||{}",
                "HTTP/1.1 200 OK|Content-Length : 2||{}",
                "HTTP/1.1 200 OK|Content Length: 2||{}",
                "HTTP/1.1 200 OK|Content-Length{B}: 2||{}",
                "HTTP/1.1 200 OK|Content-Length: 2|Content-Length: 1||{}",
                "HTTP/1.1 200 OK|Content-Length: 2|Transfer-Encoding: chunked||2|{}|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: gzip, chunked||2|{}|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|{}xx|0||",
            })
    void malformedResponseIsReturnedAsTheResult(String row) throws Exception {
        assertThat(outcome(row)).doesNotStartWith("{");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK|Content-Length: 2||{}",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|{}|0||",
            })
    void soundResponseIsRefused(String row) throws Exception {
        assertThat(outcome(row)).isEqualTo("{}");
    }

    private static StageDispatch dispatch() {
        return new StageDispatch(
                new AttemptId(new Incarnation(1, 2), 1),
                "r1",
                "workspace-1",
                "pipeline-1",
                0,
                "t1",
                new Incarnation(3, 4),
                true,
                4,
                1,
                BUDGET.toMillis() * 1_000,
                0,
                false,
                0,
                0,
                Payload.ofUtf8("{\"operation\":\"op-1\",\"prompt\":\"p\"}"));
    }
}
