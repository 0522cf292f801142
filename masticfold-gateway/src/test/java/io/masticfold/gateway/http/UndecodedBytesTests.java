package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.memory.MemoryAccount;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against the memory of responses that never get to their body, on many connections at once. */
final class UndecodedBytesTests {

    private static final int CONNECTIONS = 100;
    private static final int SENT_BYTES = 48 * 1024;
    private static final long LIMIT = 1024 * 1024;
    private static final String LONG_FIELD = "A: " + "b".repeat(1000) + "\r\n";
    private static final Duration SILENCE = Duration.ofSeconds(2);

    /** In the rows, | stands for the end of a line. The rest of the response is repeated, then nothing more is sent. */
    @ParameterizedTest
    @CsvSource({
        "'HTTP/1.1 200 ', x",
        "'HTTP/1.1 200 OK|A: ', x",
        "HTTP/1.1 200 OK|, FIELD",
        "HTTP/1.1 200 OK|Transfer-Encoding: chunked||0|A: , x",
    })
    void bytesThatAreNotDecodedAreNotCounted(String first, String repeated) throws Exception {
        MemoryAccount account = new MemoryAccount(LIMIT);
        String unit = repeated.equals("FIELD") ? LONG_FIELD : repeated;
        byte[] bytes = (first.replace("|", "\r\n") + unit.repeat(SENT_BYTES / unit.length()))
                .getBytes(StandardCharsets.US_ASCII);
        try (SentResponse exchange = new SentResponse(account, socket -> {
            SentResponse.readHead(socket.getInputStream());
            socket.getOutputStream().write(bytes);
            Thread.sleep(SILENCE.toMillis());
        })) {
            List<CompletableFuture<String>> results = new ArrayList<>();
            for (int i = 0; i < CONNECTIONS; i++) {
                results.add(exchange.send(new byte[0]));
            }
            List<String> failures = new ArrayList<>();
            for (CompletableFuture<String> result : results) {
                failures.add(result.get(10, TimeUnit.SECONDS));
            }
            assertThat(failures).isSubsetOf("BROKEN", "CLOSED");
            assertThat(failures.stream().filter("CLOSED"::equals).count() * (SENT_BYTES - UndecodedBytes.FREE_BYTES))
                    .isLessThanOrEqualTo(LIMIT);
            assertThat(exchange.reservedBytes()).isZero();
        }
    }

    /** Responses that are ready are delivered, however much others hold. */
    @ParameterizedTest
    @CsvSource({"HTTP/1.1 200 OK|X-A: b||", "HTTP/1.1 200 OK|Transfer-Encoding: chunked||4000|"})
    void ordinaryResponseFailsInAShortageOfMemory(String head) throws Exception {
        MemoryAccount account = new MemoryAccount(LIMIT);
        account.add(MemoryAccount.GATEWAY, LIMIT);
        byte[] body = "x".repeat(0x4000).getBytes(StandardCharsets.US_ASCII);
        try (SentResponse exchange = new SentResponse(account, socket -> {
            SentResponse.readHead(socket.getInputStream());
            socket.getOutputStream().write(head.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body);
            if (head.contains("chunked")) {
                socket.getOutputStream().write("\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
        })) {
            assertThat(exchange.send(new byte[0]).get(10, TimeUnit.SECONDS)).isEqualTo("200 " + "x".repeat(0x4000));
        }
    }

    @ParameterizedTest
    @CsvSource({"HTTP/1.1 200 OK|Content-Length: 2||ok", "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|ok|0|A: b||"})
    void memoryOfDecodedResponsesIsNotReturned(String response) throws Exception {
        try (SentResponse exchange = new SentResponse(new MemoryAccount(LIMIT), socket -> {
            SentResponse.readHead(socket.getInputStream());
            socket.getOutputStream().write(response.replace("|", "\r\n").getBytes(StandardCharsets.US_ASCII));
        })) {
            for (int i = 0; i < CONNECTIONS; i++) {
                assertThat(exchange.send(new byte[0]).get(10, TimeUnit.SECONDS)).isEqualTo("200 ok");
            }
            assertThat(exchange.reservedBytes()).isZero();
        }
    }
}
