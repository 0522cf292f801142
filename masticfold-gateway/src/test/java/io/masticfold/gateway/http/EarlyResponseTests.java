package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against the part of a response without a length that a server sends before it resets a long upload. */
final class EarlyResponseTests {

    private static final int REPETITIONS = 20;
    private static final byte[] PART = "HTTP/1.1 200 OK\r\n\r\npart".getBytes(StandardCharsets.US_ASCII);
    private static final int READ_BYTES = 20_000;

    /** Half of the longest upload: a server that has read all of it may close the connection. */
    private static final int MOST_READ_BYTES = 8 * 1024 * 1024;

    /** What a server does after the part of its response, while the upload is still being written. */
    enum End {
        RESET {
            @Override
            void end(Socket socket) throws IOException {
                socket.setSoLinger(true, 0);
                socket.close();
            }
        },
        RESET_LATER {
            @Override
            void end(Socket socket) throws IOException, InterruptedException {
                Thread.sleep(20);
                RESET.end(socket);
            }
        },
        CLOSE_UNREAD {
            @Override
            void end(Socket socket) throws IOException {
                socket.close();
            }
        },
        READ_SOME_AND_CLOSE {
            @Override
            void end(Socket socket) throws IOException {
                socket.getInputStream().readNBytes(READ_BYTES);
                socket.close();
            }
        },
        READ_ALL_THAT_IS_THERE_AND_CLOSE {
            @Override
            void end(Socket socket) throws IOException {
                InputStream in = socket.getInputStream();
                for (int left = MOST_READ_BYTES; left > 0 && in.available() > 0; ) {
                    left -= in.readNBytes(Math.min(left, in.available())).length;
                }
                socket.close();
            }
        },
        END_OUTPUT_AND_RESET {
            @Override
            void end(Socket socket) throws IOException, InterruptedException {
                socket.shutdownOutput();
                Thread.sleep(20);
                RESET.end(socket);
            }
        },
        END_OUTPUT_AND_STAY_SILENT {
            @Override
            void end(Socket socket) throws IOException, InterruptedException {
                socket.shutdownOutput();
                Thread.sleep(300);
                RESET.end(socket);
            }
        };

        abstract void end(Socket socket) throws IOException, InterruptedException;
    }

    @ParameterizedTest
    @CsvSource({
        "65536, RESET",
        "65536, RESET_LATER",
        "65536, CLOSE_UNREAD",
        "65536, READ_SOME_AND_CLOSE",
        "1048576, RESET",
        "1048576, RESET_LATER",
        "1048576, CLOSE_UNREAD",
        "1048576, READ_SOME_AND_CLOSE",
        "16777216, RESET",
        "16777216, RESET_LATER",
        "16777216, CLOSE_UNREAD",
        "16777216, READ_SOME_AND_CLOSE",
        "16777216, READ_ALL_THAT_IS_THERE_AND_CLOSE",
        "16777216, END_OUTPUT_AND_RESET",
        "16777216, END_OUTPUT_AND_STAY_SILENT",
    })
    void partOfAResponseIsTakenForTheWhole(int uploadBytes, End end) throws Exception {
        try (SentResponse exchange = new SentResponse(socket -> {
            SentResponse.readHead(socket.getInputStream());
            socket.getOutputStream().write(PART);
            end.end(socket);
        })) {
            for (int i = 0; i < REPETITIONS; i++) {
                assertThat(exchange.send(new byte[uploadBytes]).get(10, TimeUnit.SECONDS))
                        .isEqualTo("CLOSED");
            }
        }
    }

    /** A response that may end early: it has a length. */
    @ParameterizedTest
    @CsvSource({"65536", "1048576", "16777216"})
    void refusalWithALengthIsLost(int uploadBytes) throws Exception {
        try (SentResponse exchange = new SentResponse(socket -> {
            SentResponse.readHead(socket.getInputStream());
            socket.getOutputStream()
                    .write("HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno".getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(100);
        })) {
            assertThat(exchange.send(new byte[uploadBytes]).get(10, TimeUnit.SECONDS))
                    .isEqualTo("503 no");
        }
    }

    @ParameterizedTest
    @CsvSource({"0", "10", "65536", "1048576", "16777216"})
    void wholeResponseAfterTheUploadIsTakenForAPart(int uploadBytes) throws Exception {
        try (SentResponse exchange = new SentResponse(socket -> {
            SentResponse.readHead(socket.getInputStream());
            socket.getInputStream().readNBytes(uploadBytes);
            socket.getOutputStream().write(PART);
        })) {
            for (int i = 0; i < REPETITIONS; i++) {
                assertThat(exchange.send(new byte[uploadBytes]).get(10, TimeUnit.SECONDS))
                        .isEqualTo("200 part");
            }
        }
    }
}
