package io.masticfold.core.check;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.check.ConfigChange.Type;
import io.masticfold.core.forward.RequestKind;
import io.masticfold.core.forward.WorkspaceSpec;
import java.util.Collections;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against differences that are left out, that have no meaning, or that show an API key. */
final class ConfigDifferenceTests {

    private final ConfigBuilder earlier = ConfigBuilder.sound();
    private final ConfigBuilder later = ConfigBuilder.sound();

    private List<ConfigChange> changes() {
        return ConfigDifference.between(earlier.build(), later.build());
    }

    @Test
    void theOrderOfPartsMakesNoDifference() {
        Collections.reverse(later.pools);

        assertThat(changes()).isEmpty();
    }

    @Test
    void changedPropertiesAreListedWithBothValues() {
        later.version = 2;
        later.routes.set(
                0,
                ConfigBuilder.route(
                        "r",
                        "/r/",
                        RequestKind.SAFE,
                        3000,
                        1000,
                        2,
                        1,
                        earlier.routes.get(0).stages()));
        later.pools.set(0, ConfigBuilder.pool("p", 3));

        assertThat(changes())
                .containsExactly(
                        new ConfigChange(
                                Type.CHANGED, ConfigSection.CONFIGURATION, "", ConfigProperty.VERSION, "1", "2"),
                        new ConfigChange(
                                Type.CHANGED, ConfigSection.ROUTE, "r", ConfigProperty.TIMEOUT, "2000 ms", "3000 ms"),
                        new ConfigChange(
                                Type.CHANGED, ConfigSection.POOL, "p", ConfigProperty.COLD_RATE, "2.0", "3.0"));
    }

    @Test
    void addedAndRemovedPartsAreListed() {
        later.pools.add(ConfigBuilder.pool("q", 1));
        later.routes.clear();

        assertThat(changes())
                .containsExactly(
                        new ConfigChange(Type.REMOVED, ConfigSection.ROUTE, "r", ConfigProperty.ALL, "", ""),
                        new ConfigChange(Type.ADDED, ConfigSection.POOL, "q", ConfigProperty.ALL, "", ""));
    }

    @Test
    void keysAreCountedAndNotNamed() {
        later.workspaces.set(0, new WorkspaceSpec("w", Set.of("secret-a", "secret-b"), 1));

        assertThat(changes())
                .containsExactly(
                        new ConfigChange(Type.ADDED, ConfigSection.WORKSPACE, "w", ConfigProperty.KEYS, "", "2"),
                        new ConfigChange(Type.REMOVED, ConfigSection.WORKSPACE, "w", ConfigProperty.KEYS, "1", ""));
        assertThat(changes().toString()).doesNotContain("secret").doesNotContain("k1");
    }
}
