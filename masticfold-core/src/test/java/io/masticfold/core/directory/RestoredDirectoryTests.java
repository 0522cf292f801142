package io.masticfold.core.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a directory that follows a store restored from an older copy. */
final class RestoredDirectoryTests {

    private final ManualScheduler time = new ManualScheduler();
    private final TargetTable table = new TargetTable(time);
    private final DisabledZones zones = new DisabledZones(time);

    private static TargetRecord target(String id, boolean draining, long startedMillis) {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 80);
        return new TargetRecord(id, "pool", address, "z1", draining, 0, 4, "v1", startedMillis);
    }

    private List<String> usable() {
        return table.snapshot().usable("pool").stream().map(TargetRecord::id).toList();
    }

    @ParameterizedTest
    @CsvSource({"1, 9, 2, 1, true", "2, 1, 1, 9, false", "1, 9, 1, 10, true", "1, 9, 1, 9, false", "1, 9, 0, 10, false"
    })
    void positionsAreOrderedByEraFirst(long era, long revision, long otherEra, long otherRevision, boolean newer) {
        assertThat(new StorePosition(otherEra, otherRevision).isAfter(new StorePosition(era, revision)))
                .isEqualTo(newer);
    }

    @Test
    void targetsThatTheCopyLacksAreKeptForTheGracePeriod() {
        table.put(target("a", false, 1));

        table.replaceAllRestored(List.of());

        assertThat(usable()).containsExactly("a");
        time.advance(TargetTable.REREGISTRATION_GRACE.plusMillis(1));
        table.expire();
        assertThat(usable()).isEmpty();
    }

    @Test
    void aTargetRemovedBeforeComesBackOnlyWhenItRegistersAgain() {
        table.put(target("a", false, 1));
        table.remove("a");

        table.replaceAllRestored(List.of(target("a", false, 1)));
        assertThat(usable()).isEmpty();

        table.put(target("a", false, 1));
        assertThat(usable()).containsExactly("a");
    }

    @Test
    void anotherIncarnationInTheCopyIsUsed() {
        table.put(target("a", false, 1));
        table.remove("a");

        table.replaceAllRestored(List.of(target("a", false, 2)));

        assertThat(usable()).containsExactly("a");
    }

    @Test
    void aDrainingTargetNeverBecomesReadyAgain() {
        table.put(target("a", true, 1));

        table.replaceAllRestored(List.of(target("a", false, 1)));
        assertThat(usable()).isEmpty();

        table.put(target("a", false, 2));
        assertThat(usable()).containsExactly("a");
    }

    @Test
    void aZoneThatTheCopyLacksStaysOutUntilTheOperatorHadTimeToWriteItAgain() {
        zones.add("z1");
        zones.replaceAll(List.of("z2"), true);
        assertThat(zones.zones()).isEqualTo(Set.of("z1", "z2"));

        time.advance(DisabledZones.REWRITE_GRACE.plus(Duration.ofMillis(1)));

        assertThat(zones.expire()).isTrue();
        assertThat(zones.zones()).isEqualTo(Set.of("z2"));
    }

    @Test
    void aZoneReturnedByTheOperatorIsInServiceAtOnce() {
        zones.add("z1");
        zones.replaceAll(List.of(), true);
        zones.remove("z1");
        assertThat(zones.zones()).isEmpty();

        zones.add("z1");
        zones.replaceAll(List.of(), false);
        assertThat(zones.zones()).isEmpty();
    }
}
