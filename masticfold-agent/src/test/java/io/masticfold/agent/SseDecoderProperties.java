package io.masticfold.agent;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the decoding of server-sent events, independent of how the network splits the stream into reads. */
final class SseDecoderProperties {

    /** No token is lost, duplicated or merged with the next one when a read ends in the middle of an event. */
    @Property(seed = "5")
    void resultIsIndependentOfSplit(
            @ForAll @Size(max = 12) List<@IntRange(max = 9_999) Integer> tokens,
            @ForAll @IntRange(min = 1, max = 40) int step,
            @ForAll @IntRange(max = 2) int lineEnd) {
        String end = List.of("\n", "\r\n", "\r").get(lineEnd);
        StringBuilder stream = new StringBuilder(": comment" + end + end);
        StringBuilder expected = new StringBuilder();
        tokens.forEach(token -> {
            stream.append("event: token" + end + "id: 3" + end + "data: \"é" + token + '"' + end + end);
            expected.append("\"é" + token + "\"\n");
        });
        stream.append("event: end" + end + "data: {}" + end + end);

        SseDecoder decoder = new SseDecoder();
        ByteArrayOutputStream result = new ByteArrayOutputStream();
        byte[] bytes = stream.toString().getBytes(StandardCharsets.UTF_8);
        for (int offset = 0; offset < bytes.length; offset += step) {
            assertThat(decoder.state().open()).isEqualTo(offset <= bytes.length - end.length());
            decoder.decode(bytes, offset, Math.min(step, bytes.length - offset));
            result.writeBytes(decoder.drainResult());
        }
        assertThat(decoder.state()).isEqualTo(SseStreamState.ENDED);
        assertThat(result.toString(StandardCharsets.UTF_8)).isEqualTo(expected.toString());
    }

    /** A stream is complete only after its end event. */
    @ParameterizedTest
    @CsvSource({
        "'event: token|data: 1|', OPEN, ''",
        "'event: token|data: 1||', OPEN, '1|'",
        "'event: token|data: 1|data: 2||', OPEN, '1|2|'",
        "'event: end|', OPEN, ''",
        "'event: end||', ENDED, ''",
        "'event: end||event: token|data: 1||', ENDED, ''",
        "'event: error|data: {}||', FAILED, ''",
        "'event: ping|data: 1||data: 2||', OPEN, ''"
    })
    void onlyEndEventCompletesStream(String stream, SseStreamState state, String result) {
        SseDecoder decoder = decoded(stream.replace('|', '\n'));
        assertThat(decoder.state()).isEqualTo(state);
        assertThat(new String(decoder.drainResult(), StandardCharsets.UTF_8)).isEqualTo(result.replace('|', '\n'));
    }

    /** A line without an end must not grow the agent's memory without limit. */
    @ParameterizedTest
    @CsvSource({"0, OPEN", "1, MALFORMED"})
    void overlongLineIsMalformed(int excess, SseStreamState state) {
        assertThat(decoded("x".repeat(SseDecoder.MAX_LINE_BYTES + excess)).state())
                .isEqualTo(state);
    }

    private static SseDecoder decoded(String stream) {
        SseDecoder decoder = new SseDecoder();
        byte[] bytes = stream.getBytes(StandardCharsets.UTF_8);
        decoder.decode(bytes, 0, bytes.length);
        return decoder;
    }
}
