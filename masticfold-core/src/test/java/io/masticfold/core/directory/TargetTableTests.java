package io.masticfold.core.directory;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against new requests for draining targets, and against a directory outage that empties every pool. */
final class TargetTableTests {

    private final ManualScheduler time = new ManualScheduler();
    private final TargetTable table = new TargetTable(time);

    private static TargetRecord target(String id, boolean draining, long startedMillis) {
        return new TargetRecord(
                id, "pool", new InetSocketAddress("127.0.0.1", 80), "z1", draining, 0, 4, "v1", startedMillis);
    }

    private List<String> usable() {
        return table.snapshot().usable("pool").stream().map(TargetRecord::id).toList();
    }

    @Test
    void aDrainingTargetGetsNoNewRequests() {
        table.put(target("a", false, 1));
        table.put(target("b", true, 1));

        assertThat(usable()).containsExactly("a");
        assertThat(table.snapshot().find("b")).isPresent();
    }

    /** Entries that a target that leaves still has, or gets again, after it has said so in an answer. */
    enum Entry {
        CHANGED {
            @Override
            void apply(TargetTable table, TargetRecord target) {
                table.put(target);
            }
        },
        LISTED {
            @Override
            void apply(TargetTable table, TargetRecord target) {
                table.replaceAll(List.of(target));
            }
        },
        RESTORED {
            @Override
            void apply(TargetTable table, TargetRecord target) {
                table.replaceAllRestored(List.of(target));
            }
        },
        REMOVED_AND_ADDED_AGAIN {
            @Override
            void apply(TargetTable table, TargetRecord target) {
                table.directoryAnswered();
                table.remove(target.id());
                table.expire();
                table.put(target);
            }
        };

        abstract void apply(TargetTable table, TargetRecord target);
    }

    @ParameterizedTest
    @EnumSource
    void entryTakesBackThatATargetLeaves(Entry entry) {
        table.put(target("a", false, 1));
        assertThat(table.markLeaving(target("a", false, 1))).isTrue();
        assertThat(table.markLeaving(target("a", false, 1))).isFalse();
        for (int minute = 0; minute < 5; minute++) {
            entry.apply(table, target("a", false, 1));
            assertThat(usable()).isEmpty();
            time.advance(Duration.ofMinutes(1));
            table.expire();
        }

        table.put(target("a", false, 2));
        assertThat(usable()).containsExactly("a");
    }

    @Test
    void lateAnswerOfTheFormerIncarnationMarksTheNext() {
        table.put(target("a", false, 2));
        assertThat(table.markLeaving(target("a", false, 1))).isFalse();
        assertThat(usable()).containsExactly("a");
    }

    @Test
    void aZoneOutOfServiceGetsNoNewRequests() {
        table.put(target("a", false, 1));
        table.setDisabledZones(Set.of("z1"));

        assertThat(usable()).isEmpty();
        table.setDisabledZones(Set.of());
        assertThat(usable()).containsExactly("a");
    }

    @Test
    void aTargetIsRemovedImmediatelyWhileTheDirectoryIsAvailable() {
        table.put(target("a", false, 1));
        table.directoryAnswered();

        table.remove("a");

        assertThat(usable()).isEmpty();
    }

    @ParameterizedTest
    @CsvSource({"1000, false", "4000, true"})
    void registrationsThatExpiredInAnOutageAreKeptForAGracePeriod(long outageMillis, boolean kept) {
        table.put(target("a", false, 1));
        table.directoryFailed(Duration.ZERO);
        time.advance(Duration.ofMillis(outageMillis));
        table.directoryAnswered();

        table.replaceAll(List.of());

        assertThat(usable().contains("a")).isEqualTo(kept);
        time.advance(TargetTable.REREGISTRATION_GRACE.plusMillis(1));
        table.expire();
        assertThat(usable()).isEmpty();
    }

    /** A gateway that the store does not answer yet learns from a peer that the entry has lapsed. */
    @Test
    void aTargetThatAPeerNoLongerListsDuringAnOutageIsKeptForAGracePeriod() {
        table.put(target("a", false, 1));
        table.directoryFailed(Duration.ZERO);
        time.advance(Duration.ofSeconds(4));

        table.replaceAll(List.of());
        assertThat(usable()).containsExactly("a");
        time.advance(Duration.ofMillis(500));
        table.directoryAnswered();
        table.replaceAll(List.of());
        assertThat(usable()).containsExactly("a");

        time.advance(TargetTable.REREGISTRATION_GRACE.minusMillis(499));
        table.expire();
        assertThat(usable()).isEmpty();
    }

    /** The call that shows the outage may be made, or time out, only when the store is about to return. */
    @Test
    void aSilentOutageCountsFromTheLastAnswer() {
        table.put(target("a", false, 1));
        table.directoryFailed(TargetTable.MIN_EXPIRY_OUTAGE);
        time.advance(Duration.ofMillis(100));
        table.directoryAnswered();

        table.replaceAll(List.of());

        assertThat(usable()).containsExactly("a");
    }

    @Test
    void aTargetThatRegistersAgainIsKept() {
        table.put(target("a", false, 1));
        table.directoryFailed(Duration.ZERO);
        time.advance(Duration.ofSeconds(4));
        table.directoryAnswered();
        table.replaceAll(List.of());

        table.put(target("a", false, 1));
        time.advance(TargetTable.REREGISTRATION_GRACE.plusMillis(1));

        assertThat(table.expire()).isFalse();
        assertThat(usable()).containsExactly("a");
    }

    @Test
    void aNewIncarnationUnderTheSameIdIsAnotherTarget() {
        assertThat(target("a", false, 1).sameIncarnation(target("a", true, 1))).isTrue();
        assertThat(target("a", false, 1).sameIncarnation(target("a", false, 2))).isFalse();
    }

    /** When a target that is removed after an outage has renewed its registration for the last time. */
    enum Renewal {
        BEFORE_THE_OUTAGE {
            @Override
            void renew(TargetTable _table) {}
        },
        IN_THE_FIRST_UPDATE {
            @Override
            void renew(TargetTable table) {
                table.beginUpdate();
                table.put(target("a", false, 1));
            }
        },
        IN_A_LATER_LIST {
            @Override
            void renew(TargetTable table) {
                table.beginUpdate();
                table.beginUpdate();
                table.replaceAll(List.of(target("a", false, 1)));
            }
        },
        IN_THE_SECOND_UPDATE {
            @Override
            void renew(TargetTable table) {
                table.beginUpdate();
                table.beginUpdate();
                table.put(target("a", false, 1));
            }

            @Override
            boolean kept() {
                return false;
            }
        };

        abstract void renew(TargetTable table);

        boolean kept() {
            return true;
        }
    }

    @ParameterizedTest
    @EnumSource
    void aTargetThatRenewedItsRegistrationSinceTheOutageIsKept(Renewal renewal) {
        table.put(target("a", false, 1));
        table.directoryFailed(Duration.ZERO);
        time.advance(Duration.ofSeconds(4));
        table.directoryAnswered();
        renewal.renew(table);
        time.advance(Duration.ofSeconds(1));

        table.remove("a");

        assertThat(usable().contains("a")).isEqualTo(renewal.kept());
    }
}
