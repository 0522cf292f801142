package io.masticfold.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against crashes that are put down to the wrong one of a request, its prompt parts and its companions. */
final class PoisonAttributionTests {

    private static final String POISON = SuspectKind.REQUEST.name("bad");
    private static final Duration BETWEEN_ENDS = Duration.ofMillis(400);
    private static final int SOUND_REQUESTS = 40;

    /** Sound requests that a storm may cost: a tenth, the share from which operators are alerted. */
    private static final int MAX_SOUND_QUARANTINED = SOUND_REQUESTS / 10;

    private final ManualScheduler time = new ManualScheduler();
    private final PoisonDetector detector = new PoisonDetector(time);
    private int lastTarget;

    private Set<String> end(String... suspects) {
        time.advance(BETWEEN_ENDS);
        return endNow("t" + ++lastTarget, suspects);
    }

    private Set<String> endNow(String target, String... suspects) {
        return detector.recordEnd(new TargetEnd(target, time.nanoTime(), Set.of(suspects)));
    }

    private static String request(int number) {
        return SuspectKind.REQUEST.name(Integer.toHexString(number));
    }

    @Test
    void requestIsNotQuarantinedAtTheThirdEnd() {
        assertThat(end(POISON)).isEmpty();
        assertThat(end(POISON)).isEmpty();
        assertThat(end(POISON)).containsExactly(POISON);
        assertThat(detector.quarantined(List.of("a1", POISON))).contains(POISON);
    }

    @Test
    void copiesThatEndTargetsTogetherCountAsOne() {
        endNow("t1", POISON);
        endNow("t2", POISON);
        assertThat(endNow("t3", POISON)).containsExactly(POISON);
    }

    @Test
    void partsOfOneRequestAreQuarantined() {
        for (int i = 0; i < 10; i++) {
            end(POISON, "b1");
        }
        assertThat(detector.quarantined()).containsExactly(POISON);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3})
    void partIsTakenForManyPoisonRequests(int tries) {
        int ends = 0;
        for (int request = 0; !detector.quarantined().contains("b1"); request++) {
            for (int i = 0; i < tries && !detector.quarantined().contains("b1"); i++) {
                end(request(request), "b1");
                ends++;
            }
        }
        assertThat(ends).isLessThanOrEqualTo(5);
        for (int request = 100; request < 120; request++) {
            end(request(request), "b1");
        }
        assertThat(detector.ends(request(100))).isZero();
    }

    @Test
    void requestThatIsAnsweredInBetweenIsQuarantined() {
        String sound = request(1);
        for (int i = 0; i < 20; i++) {
            end(sound);
            detector.recordCleared(List.of(sound));
        }
        assertThat(detector.quarantined()).isEmpty();
    }

    @Test
    void companionOfAKnownPoisonRequestIsAccused() {
        for (int i = 0; i < 3; i++) {
            end(POISON);
        }
        for (int i = 0; i < 6; i++) {
            time.advance(BETWEEN_ENDS);
            endNow("x" + i, request(1));
            endNow("x" + i, POISON);
        }
        assertThat(detector.quarantined()).containsExactly(POISON);
        assertThat(detector.ends(request(1))).isZero();
    }

    @Test
    void companionThatIsSeenFirstHidesThePoison() {
        for (int i = 0; i < 3; i++) {
            time.advance(BETWEEN_ENDS);
            endNow("x" + i, request(1));
            endNow("x" + i, POISON);
        }
        assertThat(detector.quarantined()).contains(POISON);
    }

    @Test
    void requestWithoutAnAnswerIsTriedAgainAtOnceForTheThirdTime() {
        end(POISON);
        assertThat(detector.suspected(List.of(POISON))).isFalse();
        end(POISON);
        assertThat(detector.suspected(List.of(POISON))).isTrue();
    }

    @Test
    void newGatewayConfusesTheRequestsOfOneEnd() {
        endNow("t1", POISON, "b1");
        endNow("t1", request(1), "c1");
        PoisonDetector later = new PoisonDetector(time);
        detector.evidence().forEach(later::recordEnd);

        assertThat(Stream.of(POISON, request(1), "b1", "c1").map(later::ends)).containsOnly(1);
        assertThat(later.evidence()).containsExactlyInAnyOrderElementsOf(detector.evidence());
    }

    @Test
    void memoryIsBoundedWhateverCallersSend() {
        for (int i = 0; i < 20_000; i++) {
            endNow("t" + i, request(i));
            detector.adoptQuarantine(request(1_000_000 + i));
        }
        assertThat(detector.quarantined()).hasSize(SuspectKind.REQUEST.maxQuarantined());
        assertThat(detector.evidence()).hasSize(SuspectKind.REQUEST.maxSuspects());
    }

    @Test
    void quarantineThatIsFullForgetsWhatIsKnownHere() {
        for (int i = 0; i < 3; i++) {
            end(POISON);
        }
        for (int i = 0; i < 3 * SuspectKind.REQUEST.maxQuarantined(); i++) {
            detector.adoptQuarantine(request(i));
        }
        assertThat(detector.quarantined()).contains(POISON);
    }

    /** A storm in which two poison requests crash targets, each beside eight sound requests that are tried again. */
    @Property(seed = "27", tries = 200)
    @Tag("property")
    void soundRequestsAreQuarantinedInAStorm(@ForAll long seed) {
        Random random = new Random(seed);
        PoisonDetector storm = new PoisonDetector(time);
        Set<String> poison = Set.of(request(1), request(2));
        for (int crash = 0; crash < 40 && !storm.quarantined().containsAll(poison); crash++) {
            time.advance(Duration.ofMillis(random.nextInt(600)));
            String target = "t" + crash;
            String culprit = request(1 + random.nextInt(2));
            for (int i = 0; i < 8; i++) {
                String sound = request(100 + random.nextInt(SOUND_REQUESTS));
                storm.recordEnd(new TargetEnd(target, time.nanoTime(), Set.of(sound)));
                storm.recordCleared(List.of(request(100 + random.nextInt(SOUND_REQUESTS))));
            }
            if (!storm.quarantined().contains(culprit)) {
                storm.recordEnd(new TargetEnd(target, time.nanoTime(), Set.of(culprit)));
            }
        }
        assertThat(storm.quarantined()).containsAll(poison);
        Set<String> sound = storm.quarantined().stream()
                .filter(name -> !poison.contains(name))
                .collect(Collectors.toSet());
        assertThat(sound.size()).isLessThanOrEqualTo(MAX_SOUND_QUARANTINED);
    }
}
