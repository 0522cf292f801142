package io.masticfold.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.config.ConfigReplica;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import net.jqwik.api.constraints.IntRange;

/** Guards against regions without a watcher, regions in which all entries watch, and slots that stay vacant. */
@Tag("property")
class WatchElectionProperties {

    private static final WatchElectionSettings SETTINGS = WatchElectionSettings.DEFAULT;
    private static final long SECOND = Duration.ofSeconds(1).toNanos();
    private static final int LEASE_SECONDS = 12;

    @Property(seed = "31", tries = 60)
    void aRegionHasWatchersAndMostEntriesStandBy(@ForAll @IntRange(min = 1, max = 60) int entries, @ForAll long seed) {
        Region region = new Region(entries, seed);
        region.run(120);

        assertThat(region.holders()).isBetween(1L, (long) SETTINGS.slots());
        assertThat(region.watching()).isLessThanOrEqualTo(SETTINGS.slots());
    }

    @Property(seed = "32", tries = 60)
    void theLossOfAllWatchersIsNoticedWithinSeconds(
            @ForAll @IntRange(min = 5, max = 60) int entries, @ForAll long seed) {
        Region region = new Region(entries, seed);
        region.run(120);
        region.killWatchers();
        region.run(6);

        assertThat(region.watching()).isPositive();

        region.run(120);
        assertThat(region.holders()).isBetween(1L, (long) SETTINGS.slots());
        assertThat(region.watching()).isLessThanOrEqualTo(SETTINGS.slots());
    }

    @Example
    void aConfirmationOfAnotherConfigurationDoesNotCount() {
        ConfigReplica replica = new ConfigReplica();
        replica.confirm(replica.snapshot().digest() + 1, 5);
        assertThat(replica.confirmedAgeNanos(10)).isEmpty();

        replica.confirm(replica.snapshot().digest(), 5);
        replica.confirm(replica.snapshot().digest(), 3);
        assertThat(replica.confirmedAgeNanos(10)).isEqualTo(OptionalLong.of(5));
    }

    /** Simulates the elections of one region, once a second; a watching entry confirms the configuration for all. */
    private static final class Region {

        private final List<WatchElection> entries = new ArrayList<>();
        private final Map<Integer, WatchElection> holders = new HashMap<>();
        private final Map<Integer, Long> freeAt = new HashMap<>();
        private long now;
        private long confirmed = -SECOND * 1_000;

        Region(int count, long seed) {
            Random random = new Random(seed);
            for (int i = 0; i < count; i++) {
                entries.add(new WatchElection(SETTINGS, "entry-" + i, random, now));
            }
        }

        void run(int seconds) {
            for (int i = 0; i < seconds; i++) {
                now += SECOND;
                entries.forEach(this::step);
            }
        }

        private void step(WatchElection entry) {
            boolean held = holders.get(entry.slot()) == entry;
            entry.decide(held, OptionalLong.of(now - confirmed), now);
            if (entry.shouldWatch()) {
                confirmed = now;
            }
            if (entry.role().contends()
                    && !holders.containsKey(entry.slot())
                    && freeAt.getOrDefault(entry.slot(), 0L) <= now) {
                holders.put(entry.slot(), entry);
            }
        }

        void killWatchers() {
            entries.removeIf(entry -> entry.role() == WatchRole.WATCHING);
            holders.keySet().forEach(slot -> freeAt.put(slot, now + LEASE_SECONDS * SECOND));
            holders.clear();
        }

        long holders() {
            return holders.size();
        }

        long watching() {
            return entries.stream().filter(WatchElection::shouldWatch).count();
        }
    }
}
