package io.masticfold.core.resume;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.time.ManualScheduler;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against streams that are taken up at another version than the one that began them, or refused needlessly. */
final class ResumptionPolicyTests {

    private static final Duration WINDOW = Duration.ofSeconds(20);
    private static final String POOL = "pool";

    private final ManualScheduler time = new ManualScheduler();
    private final VersionHistory history = new VersionHistory(time);
    private final StreamOriginTable origins = new StreamOriginTable(time);

    private VersionRequirement require(String attempt, boolean complete) {
        history.expire(WINDOW);
        origins.expire(WINDOW);
        return ResumptionPolicy.require(origins.find(attempt), POOL, history, complete);
    }

    private static TargetRecord target(String version) {
        return new TargetRecord("t", POOL, new InetSocketAddress("127.0.0.1", 80), "z1", false, 0, 4, version, 1);
    }

    @Test
    void streamOfTheOnlyVersionIsRefused() {
        history.record(POOL, Set.of("v1"));
        assertThat(require("unknown", true)).isEqualTo(VersionRequirement.exactly("v1"));
    }

    @Test
    void onlyVersionIsTrustedBeforeThePastIsKnown() {
        history.record(POOL, Set.of("v1"));
        assertThat(require("unknown", false)).isEqualTo(VersionRequirement.UNKNOWN);
    }

    @ParameterizedTest
    @CsvSource({"20, UNKNOWN", "21, EXACTLY"})
    void versionThatLeftIsForgottenTooSoon(int seconds, VersionRequirement.Kind expected) {
        history.record(POOL, Set.of("v1"));
        time.advance(Duration.ofSeconds(seconds));
        history.record(POOL, Set.of("v2"));
        assertThat(require("unknown", true).kind()).isEqualTo(expected);
    }

    @Test
    void knownStreamIsGuessedFromTheVersionsThatServe() {
        history.record(POOL, Set.of("v1", "v2"));
        origins.add(new StreamOrigin("a", POOL, "v1", time.nanoTime()));
        assertThat(require("a", false)).isEqualTo(VersionRequirement.exactly("v1"));
        assertThat(require("a", false).allows(target("v1"))).isTrue();
        assertThat(require("a", false).allows(target("v2"))).isFalse();
    }

    @Test
    void streamOfAnotherPoolGoesOnHere() {
        history.record(POOL, Set.of("v1"));
        origins.add(new StreamOrigin("a", "other", "v1", time.nanoTime()));
        assertThat(require("a", true)).isEqualTo(VersionRequirement.UNKNOWN);
    }

    @Test
    void laterReportOfAStreamReplacesTheFirst() {
        assertThat(origins.add(new StreamOrigin("a", POOL, "v1", time.nanoTime())))
                .isTrue();
        assertThat(origins.add(new StreamOrigin("a", POOL, "v2", time.nanoTime())))
                .isFalse();
        assertThat(origins.find("a").map(StreamOrigin::version)).contains("v1");
    }

    @Test
    void memoryIsBoundedWhateverCallersSend() {
        for (int i = 0; i <= StreamOriginTable.MAX_ORIGINS; i++) {
            origins.add(new StreamOrigin("a" + i, POOL, "v1", time.nanoTime()));
        }
        assertThat(origins.of(POOL)).hasSize(StreamOriginTable.MAX_ORIGINS);
        assertThat(origins.find("a0")).isEmpty();
    }

    /** Two gateways, of which one learns of versions and streams late and restarts, while versions come and go. */
    @Property(seed = "41", tries = 300)
    @Tag("property")
    void streamGoesOnAtAnotherVersionWhateverComes(@ForAll long seed) {
        Random random = new Random(seed);
        VersionHistory here = new VersionHistory(time);
        StreamOriginTable knownHere = new StreamOriginTable(time);
        List<String> versions = List.of("v1", "v2", "v3");
        String serving = "v1";
        String begunAt = "";
        here.record(POOL, Set.of(serving));
        for (int step = 0; step < 100; step++) {
            time.advance(Duration.ofMillis(random.nextInt(3000)));
            here.record(POOL, Set.of(serving));
            here.expire(WINDOW);
            switch (random.nextInt(4)) {
                case 0 -> {
                    serving = versions.get(random.nextInt(versions.size()));
                    here.record(POOL, Set.of(serving));
                }
                case 1 -> {
                    begunAt = serving;
                    if (random.nextBoolean()) {
                        knownHere.add(new StreamOrigin("s" + step, POOL, begunAt, time.nanoTime()));
                    }
                    VersionRequirement required =
                            ResumptionPolicy.require(knownHere.find("s" + step), POOL, here, true);
                    assertThat(required).isIn(VersionRequirement.UNKNOWN, VersionRequirement.exactly(begunAt));
                }
                case 2 -> {
                    // A restart: the record of the versions outlives it, the streams do not.
                    Set<String> recorded = here.versions(POOL);
                    here = new VersionHistory(time);
                    here.record(POOL, recorded);
                    knownHere = new StreamOriginTable(time);
                }
                default -> {
                    VersionRequirement required = ResumptionPolicy.require(Optional.empty(), POOL, here, true);
                    assertThat(required.kind() == VersionRequirement.Kind.EXACTLY)
                            .isEqualTo(here.versions(POOL).size() == 1);
                }
            }
        }
    }
}
