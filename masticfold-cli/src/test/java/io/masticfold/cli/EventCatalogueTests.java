package io.masticfold.cli;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.agent.AgentEvent;
import io.masticfold.core.telemetry.CoreEvent;
import io.masticfold.core.telemetry.LogEvent;
import io.masticfold.entry.EntryEvent;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.platform.event.PlatformEvent;
import io.masticfold.testkit.http.TestkitEvent;
import io.masticfold.wire.WireEvent;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Guards against log events that operators cannot look up, and against numbers used twice. */
class EventCatalogueTests {

    private static final Path CATALOGUE = Path.of("..", "docs", "events.md");

    @Test
    void numbersAreUnique() {
        assertThat(events().map(LogEvent::number)).doesNotHaveDuplicates();
    }

    @Test
    void catalogueAndEventsAgree() throws IOException {
        List<String> rows = Files.readAllLines(CATALOGUE).stream()
                .filter(line -> line.startsWith("| MF"))
                .toList();

        assertThat(rows)
                .containsExactlyElementsOf(
                        events().map(EventCatalogueTests::row).toList());
    }

    private static Stream<LogEvent> events() {
        return Stream.of(
                        CoreEvent.values(),
                        WireEvent.values(),
                        PlatformEvent.values(),
                        AgentEvent.values(),
                        EntryEvent.values(),
                        GatewayEvent.values(),
                        TestkitEvent.values())
                .flatMap(Arrays::stream);
    }

    private static String row(LogEvent event) {
        return "| MF" + event.number() + " | " + event.level() + " | " + event + " | " + event.template() + " |";
    }
}
