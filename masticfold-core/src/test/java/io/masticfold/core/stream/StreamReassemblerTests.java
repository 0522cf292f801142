package io.masticfold.core.stream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import java.util.Arrays;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against duplicated bytes, gaps, and truncated streams that are mistaken for complete ones. */
final class StreamReassemblerTests {

    private final StringBuilder delivered = new StringBuilder();
    private final StreamReassembler stream = new StreamReassembler((offset, bytes) -> {
        assertThat(offset).isEqualTo(delivered.length());
        delivered.append(bytes.utf8());
    });

    @ParameterizedTest
    @CsvSource({
        "0:ab 2:cd, 4, abcd, true",
        "2:cd 0:ab, 4, abcd, true",
        "0:ab 0:ab 1:bcd 3:d, 4, abcd, true",
        "2:c 2:cd 1:bc 0:a, 4, abcd, true",
        "0:ab 3:d, 4, ab, false",
        "0:ab, 4, ab, false"
    })
    void deliversEachByteOnceAndInOrder(String parts, long total, String expected, boolean complete)
            throws MasticfoldException {
        for (String part : parts.split(" ")) {
            stream.addPart(Long.parseLong(part.substring(0, 1)), Payload.ofUtf8(part.substring(2)));
        }
        assertThat(stream.complete()).as("before the end marker").isFalse();
        stream.end(total);

        assertThat(delivered).hasToString(expected);
        assertThat(stream.complete()).isEqualTo(complete);
    }

    @Test
    void resumesWithoutThePartsBehindTheGap() throws MasticfoldException {
        stream.addPart(0, Payload.ofUtf8("ab"));
        stream.addPart(3, Payload.ofUtf8("x"));
        stream.dropPending();
        stream.addPart(stream.delivered(), Payload.ofUtf8("cd"));
        stream.end(4);

        assertThat(delivered).hasToString("abcd");
        assertThat(stream.complete()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0, 5, PROTOCOL_VIOLATION", "-1, 2, PROTOCOL_VIOLATION", "16777216, 1, PROTOCOL_VIOLATION"})
    void rejectsPartsOutsideTheStream(long offset, int size, ErrorKind kind) throws MasticfoldException {
        stream.end(4);

        assertThatThrownBy(() -> stream.addPart(offset, Payload.wrap(new byte[size])))
                .isInstanceOfSatisfying(
                        MasticfoldException.class, e -> assertThat(e.kind()).isEqualTo(kind));
    }

    @Test
    void rejectsAnEndThatContradictsTheParts() throws MasticfoldException {
        stream.addPart(2, Payload.ofUtf8("cd"));

        assertThatThrownBy(() -> stream.end(3)).isInstanceOf(MasticfoldException.class);
        stream.end(4);
        assertThatThrownBy(() -> stream.end(5)).isInstanceOf(MasticfoldException.class);
    }

    @Test
    void limitsTheBytesBufferedBehindAGap() throws MasticfoldException {
        stream.addPart(1, Payload.wrap(new byte[StreamReassembler.MAX_PENDING_BYTES]));

        assertThatThrownBy(() -> stream.addPart(StreamReassembler.MAX_PENDING_BYTES + 1L, Payload.ofUtf8("x")))
                .isInstanceOfSatisfying(
                        MasticfoldException.class, e -> assertThat(e.kind()).isEqualTo(ErrorKind.QUEUE_FULL));
    }

    /** Covers random splits, orders and repetitions of the parts of a stream. */
    @Property(seed = "20261204", tries = 500)
    @Tag("property")
    void anyOrderGivesTheCompleteStream(
            @ForAll @Size(max = 200) byte[] whole, @ForAll @IntRange(min = 1, max = 50) int parts, @ForAll long seed)
            throws MasticfoldException {
        StreamReassembler any = new StreamReassembler((_offset, _bytes) -> {});
        Random random = new Random(seed);
        for (int i = 0; i < parts; i++) {
            int start = random.nextInt(whole.length + 1);
            any.addPart(start, slice(whole, start, start + random.nextInt(whole.length - start + 1)));
        }
        any.end(whole.length);
        assertThat(any.complete()).isEqualTo(any.delivered() == whole.length);
        int half = whole.length / 2;
        any.addPart(half, slice(whole, half, whole.length));
        any.addPart(0, slice(whole, 0, half));
        assertThat(any.content()).isEqualTo(Payload.wrap(whole));
        assertThat(any.complete()).isTrue();
    }

    private static Payload slice(byte[] whole, int start, int end) {
        return Payload.wrap(Arrays.copyOfRange(whole, start, end));
    }
}
