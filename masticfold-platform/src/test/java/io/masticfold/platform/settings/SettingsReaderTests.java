package io.masticfold.platform.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetSocketAddress;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SettingsReaderTests {

    private static final String ENTRY =
            """
            {
              "name": "entry-1", "zone": "a", "region": "r",
              "listen": "127.0.0.1:8080", "admin": "127.0.0.1:8081",
              "objectApi": "127.0.0.1:8082", "vmList": "127.0.0.1:8083",
              "sharedSecret": "0123456789abcdef" /* at least 16 characters */
            }
            """;

    @Test
    void readsEntrySettingsWithDefaults() throws Exception {
        EntrySettings settings = SettingsReader.entry("entry.json", ENTRY);

        assertThat(settings.listen()).isEqualTo(new InetSocketAddress("127.0.0.1", 8080));
        assertThat(settings.threads()).isEqualTo(EntrySettings.DEFAULT_THREADS);
        assertThat(settings.toString()).doesNotContain("0123456789abcdef");
    }

    /** Guards against invalid settings that are detected only after the process has started. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            127.0.0.1:8080   | localhost:8080   | entry.json:3: $.listen: accepted: an IP number and port
            127.0.0.1:8081   | 127.0.0.1:70000  | $.admin: accepted: an IP number and port
            127.0.0.1:8081   | 127.0.0.300:80   | $.admin: accepted: an IP number and port
            "zone": "a",     | "zone": "A",     | $.zone: zone must be 1 to 63 of a-z
            "zone": "a",     | "threads": 0,    | $.threads: accepted: a whole number, 1 to 64, found 0
            "zone": "a",     | "drainDelaySeconds": 2, | unknown key, use drainDelayMillis
            """)
    void refusesWrongSettings(String from, String to, String expected) {
        assertThatThrownBy(() -> SettingsReader.entry("entry.json", ENTRY.replace(from, to)))
                .hasMessageContaining(expected);
    }

    /** Guards against a secret that appears in an error message and thus in a log. */
    @Test
    void withholdsTheSecret() {
        assertThatThrownBy(() -> SettingsReader.entry("entry.json", ENTRY.replace("0123456789abcdef", "hunter2")))
                .hasMessageContaining("$.sharedSecret: value withheld; accepted: a text of at least 16 characters")
                .hasMessageNotContaining("hunter2");
    }

    @Test
    void readsDeploymentSettings() throws Exception {
        DeploymentSettings settings = SettingsReader.deployment(
                "dev.json",
                """
                {"objectApi": "127.0.0.1:1", "vmList": "127.0.0.1:2", "sharedSecret": "0123456789abcdef",
                 "entries": [{"name": "e", "zone": "a", "region": "r", "listen": "127.0.0.1:3", "admin": "127.0.0.1:4"}],
                 "callers": {"lemeki": "key"}, "samples": {"search": {"query": "shed 4"}}}
                """);

        assertThat(settings.callers()).isEqualTo(Map.of("lemeki", "key"));
        assertThat(settings.samples()).isEqualTo(Map.of("search", "{\"query\":\"shed 4\"}"));
    }
}
