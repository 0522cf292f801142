package io.masticfold.core.memory;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.memory.SlowReaders.Reader;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against unsent output that grows with the number of callers that do not read. */
final class SlowReadersTests {

    private static final long LIMIT = 24L * 1024 * 1024;
    private static final int UNSENT = 80 * 1024;
    private static final long NOW = Duration.ofSeconds(100).toNanos();

    private final MemoryAccount account = new MemoryAccount(LIMIT);

    private Reader<String> reader(String name, int bytes, Duration stalled) {
        account.add("w", bytes);
        return new Reader<>(name, bytes, NOW - stalled.toNanos());
    }

    private List<String> shed(List<Reader<String>> readers) {
        return SlowReaders.toShed(account, readers, NOW).stream()
                .map(Reader::connection)
                .toList();
    }

    /** Several hundred callers take a stream each and do not read. */
    @Test
    void hundredsOfCallersThatDoNotReadExceedTheLimit() {
        List<Reader<String>> readers = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            readers.add(reader("reader-" + i, UNSENT, Duration.ofMillis(10 + i)));
        }
        assertThat(account.exceeded()).isTrue();

        List<String> shed = shed(readers);

        shed.forEach(_name -> account.release("w", UNSENT));
        assertThat(account.inUseBytes()).isLessThanOrEqualTo(LIMIT / 4 * 3);
        assertThat(shed).startsWith("reader-399", "reader-398").doesNotContain("reader-0");
    }

    @Test
    void readerThatMakesProgressIsShedBeforeOneThatDoesNot() {
        List<Reader<String>> readers = List.of(
                reader("large-and-reading", (int) (LIMIT / 2), Duration.ofMillis(300)),
                reader("small-and-stalled", (int) (LIMIT / 4), Duration.ofSeconds(5)),
                reader("stalled-later", (int) (LIMIT / 6), Duration.ofSeconds(2)));

        assertThat(account.exceeded()).isFalse();
        assertThat(shed(readers)).containsExactly("small-and-stalled");
    }

    /** Responses that did not fit were dropped, while stalled output stayed just below the mark at which it is shed. */
    @Test
    void stalledOutputIsKeptAlthoughAResponseDidNotFit() {
        List<Reader<String>> readers = List.of(
                reader("stalled", (int) (LIMIT / 16 * 6), Duration.ofSeconds(5)),
                reader("reading", (int) (LIMIT / 16 * 7), Duration.ZERO));
        assertThat(shed(readers)).isEmpty();

        assertThat(account.reserve("w", LIMIT / 4)).isFalse();

        assertThat(shed(readers)).containsExactly("stalled");
        account.shortageHandled();
        assertThat(shed(readers)).isEmpty();
    }

    @Test
    void readersAreShedAlthoughThereIsRoom() {
        List<Reader<String>> readers = List.of(reader("stalled", (int) (LIMIT / 2), Duration.ofSeconds(50)));

        assertThat(shed(readers)).isEmpty();
    }

    @Test
    void readerIsShedSoonAfterItsLastProgressWhileTheLimitIsKept() {
        List<Reader<String>> readers =
                List.of(reader("brief", (int) (LIMIT / 16 * 15), SlowReaders.MIN_STALL.minusMillis(1)));

        assertThat(shed(readers)).isEmpty();
    }

    @Test
    void connectionWithoutUnsentOutputIsShed() {
        account.add("w", 2 * LIMIT);

        assertThat(shed(List.of(new Reader<>("empty", 0, 0)))).isEmpty();
    }
}
