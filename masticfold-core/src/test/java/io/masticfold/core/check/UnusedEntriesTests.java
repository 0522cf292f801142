package io.masticfold.core.check;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.forward.RequestKind;
import io.masticfold.core.forward.WorkspaceSpec;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against entries without effect that are not reported, and against reports on a sound configuration. */
final class UnusedEntriesTests {

    private final ConfigBuilder config = ConfigBuilder.sound();

    private List<ConfigFinding> find() {
        return UnusedEntries.find(config.build(), Optional.empty());
    }

    private void assertOneFinding(ConfigSection section, int index, ConfigProperty property, String text) {
        assertThat(find()).singleElement().satisfies(finding -> {
            assertThat(finding.section()).isEqualTo(section);
            assertThat(finding.index()).isEqualTo(index);
            assertThat(finding.property()).isEqualTo(property);
            assertThat(finding.message()).contains(text);
        });
    }

    @Test
    void aSoundConfigurationHasNoFindings() {
        assertThat(find()).isEmpty();
        Map<String, PoolServers> servers = Map.of("p", new PoolServers(2, true), "s", new PoolServers(1, true));
        assertThat(UnusedEntries.find(config.build(), Optional.of(servers))).isEmpty();
    }

    @Test
    void theLaterOfTwoRoutesWithOneHostAndPrefixIsReported() {
        config.routes.add(ConfigBuilder.route("r2", "/r/", RequestKind.SAFE, 2000, 1000, 1, 1, List.of()));

        assertOneFinding(ConfigSection.ROUTE, 1, ConfigProperty.PATH_PREFIX, "route r2 receives no requests");
    }

    @Test
    void aShareWithoutWeightIsReported() {
        config.routes.add(ConfigBuilder.route("r2", "/r2/", RequestKind.SAFE, 2000, 1000, 1, 0, List.of()));

        assertOneFinding(ConfigSection.ROUTE, 1, ConfigProperty.POOLS, "weight is 0");
    }

    @Test
    void aServiceThatIsNotConfiguredIsReported() {
        config.pools.remove(0);

        assertOneFinding(ConfigSection.ROUTE, 0, ConfigProperty.POOLS, "service p are refused: the service is not");
    }

    @Test
    void aServiceWithoutServersIsReported() {
        List<ConfigFinding> findings =
                UnusedEntries.find(config.build(), Optional.of(Map.of("p", new PoolServers(1, false))));

        assertThat(findings).singleElement().satisfies(finding -> {
            assertThat(finding.property()).isEqualTo(ConfigProperty.STAGES);
            assertThat(finding.message()).contains("service s").contains("no server");
        });
    }

    @Test
    void aServiceThatNoRouteUsesIsReported() {
        config.pools.add(ConfigBuilder.pool("q", 1));

        assertOneFinding(ConfigSection.POOL, 2, ConfigProperty.NAME, "no route uses service q");
    }

    @Test
    void aKeyOfTwoWorkspacesIsReportedWithoutBeingNamed() {
        config.workspaces.add(new WorkspaceSpec("w2", Set.of("k1", "k2"), 1));

        assertOneFinding(ConfigSection.WORKSPACE, 1, ConfigProperty.KEYS, "workspace w2 has a key of workspace w");
        assertThat(find().get(0).message()).doesNotContain("k1");
    }

    @Test
    void stagesThatWaitForEachOtherAreReported() {
        config.routes.add(ConfigBuilder.route(
                "r2",
                "/r2/",
                RequestKind.SAFE,
                2000,
                1000,
                1,
                1,
                List.of(ConfigBuilder.stage(), ConfigBuilder.stage(2), ConfigBuilder.stage(1))));

        assertOneFinding(ConfigSection.ROUTE, 1, ConfigProperty.STAGES, "wait for each other");
    }
}
