package io.masticfold.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against events that are truncated, duplicated or reordered. */
final class EventSplitterTests {

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(strings = {"id: 3\ndata: x\n\n", "id:3\r\ndata: x\r\n\r\n", "data: x\nid: 3\n\n"})
    void theIdOfAnEventIsParsed(String event) {
        assertThat(new EventSplitter().feed(bytes(event))).singleElement().satisfies(found -> {
            assertThat(found.id()).isEqualTo(3);
            assertThat(found.bytes()).isEqualTo(bytes(event));
        });
    }

    @Test
    void anIncompleteEventIsBuffered() {
        EventSplitter splitter = new EventSplitter();

        assertThat(splitter.feed(bytes("id: 1\ndata: a\n\nid: 2\nda"))).hasSize(1);
        assertThat(splitter.hasIncompleteEvent()).isTrue();
        assertThat(splitter.feed(bytes("ta: b\n\n"))).hasSize(1);
        assertThat(splitter.hasIncompleteEvent()).isFalse();
    }

    @Test
    void anEventWithoutANumericIdHasNoId() {
        assertThat(new EventSplitter().feed(bytes("id: x\ndata: a\n\ndata: b\n\n")))
                .extracting(StreamEvent::id)
                .containsOnly(StreamEvent.NO_ID);
    }

    @Test
    void commentsAndEmptyLinesCountAsManyEvents() {
        String filler = ":\n\n".repeat(5000) + "\n\r\n".repeat(100);

        List<StreamEvent> events = new EventSplitter().feed(bytes(filler + "id: 1\ndata: a\n\n" + filler + ":"));

        assertThat(events).extracting(StreamEvent::carriesContent).containsExactly(false, true, false);
        assertThat(events).extracting(StreamEvent::id).containsExactly(StreamEvent.NO_ID, 1L, StreamEvent.NO_ID);
        assertThat(events)
                .extracting(event -> new String(event.bytes(), StandardCharsets.UTF_8))
                .containsExactly(filler, "id: 1\ndata: a\n\n", filler);
    }

    @Property(seed = "5", tries = 200)
    @Tag("property")
    void anySplitOfTheBytesGivesTheSameEvents(@ForAll long seed) {
        Random random = new Random(seed);
        StringBuilder stream = new StringBuilder();
        int count = random.nextInt(20);
        for (int i = 1; i <= count; i++) {
            stream.append(": ping\n\n".repeat(random.nextInt(3)));
            stream.append("id: ").append(i).append("\ndata: ").append("y".repeat(random.nextInt(900)));
            stream.append("\n\n");
        }
        byte[] all = bytes(stream.toString());
        EventSplitter splitter = new EventSplitter();
        List<Long> ids = new ArrayList<>();
        StringBuilder output = new StringBuilder();
        int from = 0;
        while (from < all.length) {
            int to = Math.min(all.length, from + 1 + random.nextInt(700));
            for (StreamEvent event : splitter.feed(Arrays.copyOfRange(all, from, to))) {
                if (event.carriesContent()) {
                    ids.add(event.id());
                }
                output.append(new String(event.bytes(), StandardCharsets.UTF_8));
            }
            from = to;
        }
        assertThat(output.toString()).isEqualTo(stream.toString());
        assertThat(ids).hasSize(count).isSorted();
    }
}
