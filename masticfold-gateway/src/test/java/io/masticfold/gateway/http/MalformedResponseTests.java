package io.masticfold.gateway.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against bytes that are no response in HTTP/1.1 and that are repaired and passed on as one. */
final class MalformedResponseTests {

    private static final byte[] NO_BODY = {};

    /** In the rows, | stands for the end of a line, and a letter in braces for a control byte, {X} for 0xff. */
    private static byte[] decode(String row) {
        return row.replace("|", "\r\n")
                .replace("{N}", "\0")
                .replace("{B}", "\b")
                .replace("{R}", "\r")
                .replace("{L}", "\n")
                .replace("{T}", "\t")
                .replace("{D}", "\u007f")
                .replace("{X}", "\u00ff")
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static String result(String row, byte[] request) throws Exception {
        try (SentResponse exchange = new SentResponse(socket -> {
            SentResponse.readHead(socket.getInputStream());
            socket.getOutputStream().write(decode(row));
        })) {
            return exchange.send(request).get(10, TimeUnit.SECONDS);
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                // Status line.
                "HTTP/1.1 000 X|Content-Length: 2||ok",
                "HTTP/1.1 099 X|Content-Length: 2||ok",
                "HTTP/1.1 600 X|Content-Length: 2||ok",
                "HTTP/1.1 999 X|Content-Length: 2||ok",
                "HTTP/1.1 20 X|Content-Length: 2||ok",
                "HTTP/1.1 2000 X|Content-Length: 2||ok",
                "HTTP/1.1 +20 X|Content-Length: 2||ok",
                "HTTP/1.1 -20 X|Content-Length: 2||ok",
                "HTTP/1.1 2x0 X|Content-Length: 2||ok",
                "HTTP/1.1 101 X||HTTP/1.1 200 OK|Content-Length: 2||ok",
                "HTTP/1.1  200 OK|Content-Length: 2||ok",
                "HTTP/1.1{T}200 OK|Content-Length: 2||ok",
                "HTTP/1.1 200{T}OK|Content-Length: 2||ok",
                "HTTP/1.1 200 O{N}K|Content-Length: 2||ok",
                "HTTP/1.1 200 O{R}K|Content-Length: 2||ok",
                "HTTP/1.1 200 OK{L}Content-Length: 2||ok",
                "HTTP/2.0 200 OK|Content-Length: 2||ok",
                "HTTP/1.2 200 OK|Content-Length: 2||ok",
                "HTTP/11 200 OK|Content-Length: 2||ok",
                "http/1.1 200 OK|Content-Length: 2||ok",
                "XTTP/1.1 200 OK|Content-Length: 2||ok",
                " HTTP/1.1 200 OK|Content-Length: 2||ok",
                "|HTTP/1.1 200 OK|Content-Length: 2||ok",
                "{N}HTTP/1.1 200 OK|Content-Length: 2||ok",
                // Names of fields.
                "HTTP/1.1 200 OK|X A: b|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|X-A : b|Content-Length: 2||ok",
                "HTTP/1.1 200 OK| X-A: b|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|{T}X-A: b|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|Content-Length : 2||ok",
                "HTTP/1.1 200 OK|Content -Length: 2||ok",
                "HTTP/1.1 200 OK|Content-Length{B}: 2||ok",
                "HTTP/1.1 200 OK|Content-Length{N}: 2||ok",
                "HTTP/1.1 200 OK|Content-Length{R}: 2||ok",
                "HTTP/1.1 200 OK|X{N}A: b|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|{N}X-A: b|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|X{D}A: b|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|X{X}A: b|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|X(A: b|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|: b|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|X-A|Content-Length: 2||ok",
                // Values of fields.
                "HTTP/1.1 200 OK|X-A: b{N}|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|X-A: b{B}|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|X-A: b{R}c|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|X-A: b{L}X-C: d|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|X-A: b{D}|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|X-A: b| c|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|Content-Length: 2{L}{L}ok",
                // Framing of the body.
                "HTTP/1.1 200 OK|Content-Length: 2|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|Content-Length: 2|Content-Length: 3||ok",
                "HTTP/1.1 200 OK|Content-Length: 2, 2||ok",
                "HTTP/1.1 200 OK|Content-Length: +2||ok",
                "HTTP/1.1 200 OK|Content-Length: -2||ok",
                "HTTP/1.1 200 OK|Content-Length: 0x2||ok",
                "HTTP/1.1 200 OK|Content-Length:||ok",
                "HTTP/1.1 200 OK|Content-Length: 99999999999999999999||ok",
                "HTTP/1.1 200 OK|Content-Length: 2|Transfer-Encoding: chunked||2|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked|Content-Length: 2||2|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: gzip, chunked||2|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked, chunked||2|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked|Transfer-Encoding: chunked||2|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: identity|Content-Length: 2||ok",
                "HTTP/1.1 200 OK|Transfer-Encoding: xchunked||2|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked                              , gzip||2|ok|0||",
                // Chunks and trailers.
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2 x|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||0x2|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||-2|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked|| 2|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||;a=b|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked|||ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2;a={N}|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2{L}ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|okay|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|ok{L}0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|ok0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||10000000000000002|ok|0||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|ok|0|X A: b||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|ok|0|X-A: {N}||",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||2|ok|0| X-A: b||",
                // Interim responses.
                "HTTP/1.1 103 X|Y A: b||HTTP/1.1 200 OK|Content-Length: 2||ok",
                "HTTP/1.1 100||HTTP/1.1 000 X|Content-Length: 2||ok",
            })
    void malformedResponseIsPassedOn(String row) throws Exception {
        assertThat(result(row, NO_BODY)).isIn("BROKEN", "CLOSED");
    }

    @ParameterizedTest
    @CsvSource(
            delimiterString = " => ",
            value = {
                "HTTP/1.1 200 OK|Content-Length: 2||ok => 200 ok",
                "HTTP/1.0 200 OK|Content-Length: 2||ok => 200 ok",
                "HTTP/1.1 200|Content-Length: 2||ok => 200 ok",
                "HTTP/1.1 200 |Content-Length: 2||ok => 200 ok",
                "HTTP/1.1 599 Hm{T}{X}|Content-Length: 2||ok => 599 ok",
                "HTTP/1.1 200 OK|cOnTeNt-LeNgTh:{T} 2 {T}||ok => 200 ok",
                "HTTP/1.1 200 OK|X!#$%&'*+-.^_`~1: b:{X}{T}c|Content-Length: 2||ok => 200 ok",
                "HTTP/1.1 200 OK|X-A:|Content-Length: 2||ok => 200 ok",
                "HTTP/1.1 200 OK||ok => 200 ok",
                "HTTP/1.1 103 X|Y: z||HTTP/1.1 200 OK|Content-Length: 2||ok => 200 ok",
                "HTTP/1.1 200 OK|Transfer-Encoding: Chunked||2|ok|0|| => 200 ok",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||002;a=b|ok|1|a|0;c|X-A: b|| => 200 oka",
                "HTTP/1.1 200 OK|Transfer-Encoding: chunked||0|| => '200 '",
                "HTTP/1.1 204 No|X-A: b|| => '204 '",
                "HTTP/1.1 304 No|Content-Length: 2|| => '304 '",
            })
    void soundResponseIsRefused(String row, String expected) throws Exception {
        assertThat(result(row, NO_BODY)).isEqualTo(expected);
    }

    /** Each byte value at each place of a head that is sound otherwise. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3})
    void byteThatTheGrammarForbidsIsPassedOn(int quarter) {
        byte[] sound = decode("HTTP/1.1 200 OK|X-A: b|Content-Length: 2||ok");
        int end = sound.length - 2;
        for (int place = quarter * end / 4; place < (quarter + 1) * end / 4; place++) {
            for (int value = 0; value < 256; value++) {
                byte[] changed = sound.clone();
                changed[place] = (byte) value;
                String text = new String(changed, StandardCharsets.ISO_8859_1);
                boolean allowed = ResponseGrammar.allows(text);
                ResponseSyntax syntax = new ResponseSyntax();
                syntax.begin(HttpMethod.GET);
                boolean accepted = syntax.problem(Unpooled.wrappedBuffer(changed)) == null;
                assertThat(accepted).as("0x%02x at %d", value, place).isEqualTo(allowed);
            }
        }
    }
}
