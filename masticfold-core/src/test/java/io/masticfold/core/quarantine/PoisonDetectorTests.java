package io.masticfold.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against a poison part that is not found, and against sound parts that are held back. */
final class PoisonDetectorTests {

    private static final String POISON = "bad0";
    private static final String SYSTEM_PROMPT = "a1";
    private static final Duration BETWEEN_ENDS = Duration.ofMillis(400);

    private final ManualScheduler time = new ManualScheduler();
    private final PoisonDetector detector = new PoisonDetector(time);
    private int lastTarget;

    private Set<String> end(String... parts) {
        time.advance(BETWEEN_ENDS);
        return detector.recordEnd(new TargetEnd("t" + ++lastTarget, time.nanoTime(), Set.of(parts)));
    }

    @Test
    void partThatCrashesTargetsIsFoundWithinFiveEnds() {
        detector.recordCleared(List.of(SYSTEM_PROMPT));
        assertThat(end(SYSTEM_PROMPT, POISON)).isEmpty();
        assertThat(end(SYSTEM_PROMPT, POISON, "b1")).isEmpty();
        assertThat(end(SYSTEM_PROMPT, POISON)).containsExactly(POISON);

        assertThat(detector.quarantined(List.of(SYSTEM_PROMPT, POISON))).contains(POISON);
        assertThat(detector.quarantined(List.of(SYSTEM_PROMPT, "b1"))).isEmpty();
    }

    @Test
    void partThatWasSoundBeforeIsFoundWithinFiveEnds() {
        for (int i = 0; i < 60; i++) {
            detector.recordCleared(List.of(POISON, SYSTEM_PROMPT));
        }
        for (int i = 1; i < 5; i++) {
            assertThat(end(POISON)).isEmpty();
            detector.recordCleared(List.of(SYSTEM_PROMPT));
        }
        assertThat(end(POISON)).containsExactly(POISON);
    }

    @Test
    void companionsOfPoisonStaySound() {
        for (int i = 0; i < 3; i++) {
            end(SYSTEM_PROMPT, POISON);
            detector.recordCleared(List.of(SYSTEM_PROMPT));
        }
        assertThat(detector.quarantined()).containsExactly(POISON);
        for (int i = 0; i < 20; i++) {
            end(SYSTEM_PROMPT, POISON);
        }
        assertThat(detector.quarantined()).containsExactly(POISON);
        assertThat(detector.ends(SYSTEM_PROMPT)).isZero();
    }

    @Test
    void requestsOfOtherGatewaysOnTheSameTargetAreNotAccused() {
        for (int i = 0; i < 3; i++) {
            end(POISON);
        }
        for (int i = 0; i < 9; i++) {
            time.advance(BETWEEN_ENDS);
            String target = "x" + i;
            detector.recordEnd(new TargetEnd(target, time.nanoTime(), Set.of("b1")));
            detector.recordEnd(new TargetEnd(target, time.nanoTime(), Set.of(POISON)));
        }
        assertThat(detector.quarantined()).containsExactly(POISON);
        assertThat(detector.ends("b1")).isZero();
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 8, 40})
    void targetsThatEndTogetherAccuseNobody(int targets) {
        for (int i = 0; i < targets; i++) {
            detector.recordEnd(new TargetEnd("t" + i, time.nanoTime(), Set.of(SYSTEM_PROMPT, "b" + i)));
            time.advance(Duration.ofMillis(2));
        }
        assertThat(detector.quarantined()).isEmpty();
    }

    @Test
    void sameTargetSeenByManyGatewaysCountsOnce() {
        for (int i = 0; i < 33; i++) {
            time.advance(BETWEEN_ENDS);
            detector.recordEnd(new TargetEnd("t1", time.nanoTime(), Set.of(POISON)));
        }
        assertThat(detector.ends(POISON)).isEqualTo(1);
    }

    @Test
    void answerThatBeginsReleasesTheQuarantine() {
        for (int i = 0; i < 3; i++) {
            end("b1");
        }
        QuarantineChange change = detector.recordCleared(List.of("b1", SYSTEM_PROMPT));
        assertThat(change.cleared()).containsExactly("b1");
        assertThat(change.released()).containsExactly("b1");
        assertThat(detector.quarantined(List.of("b1"))).isEmpty();
        assertThat(detector.adoptQuarantine("b1")).isEmpty();
    }

    @Test
    void secondTargetIsNotRiskedForAPartThatNeverBegan() {
        end(POISON, SYSTEM_PROMPT);
        assertThat(detector.suspected(List.of(POISON))).isTrue();
        detector.recordCleared(List.of(SYSTEM_PROMPT));
        assertThat(detector.suspected(List.of(SYSTEM_PROMPT))).isFalse();
        detector.recordKnownSound(List.of(POISON));
        assertThat(detector.suspected(List.of(POISON))).isFalse();
        assertThat(detector.ends(POISON)).isEqualTo(1);
    }

    @Test
    void newGatewayLearnsWhatTheOthersSaw() {
        end(POISON, SYSTEM_PROMPT);
        end(POISON);
        PoisonDetector later = new PoisonDetector(time);
        detector.evidence().forEach(later::recordEnd);

        assertThat(later.ends(POISON)).isEqualTo(2);
        time.advance(BETWEEN_ENDS);
        assertThat(later.recordEnd(new TargetEnd("t9", time.nanoTime(), Set.of(POISON))))
                .containsExactly(POISON);
    }

    @ParameterizedTest
    @CsvSource({"600, 1", "601, 0"})
    void oldEndsAreNoEvidence(int seconds, int ends) {
        end(POISON);
        time.advance(Duration.ofSeconds(seconds));
        detector.evidence();
        assertThat(detector.ends(POISON)).isEqualTo(ends);
    }

    @Test
    void memoryIsBoundedWhateverPartsCallersChoose() {
        for (int i = 0; i < 20_000; i++) {
            detector.recordCleared(List.of("c" + i));
            detector.recordEnd(new TargetEnd("t" + i, time.nanoTime(), Set.of("e" + i)));
            detector.adoptQuarantine("q" + i);
        }
        assertThat(detector.quarantined()).hasSize(SuspectKind.PROMPT_PART.maxQuarantined());
        assertThat(detector.evidence()).hasSize(SuspectKind.PROMPT_PART.maxSuspects());
        assertThat(detector.cleared(Integer.MAX_VALUE)).hasSize(SuspectTable.MAX_CLEARED);
    }

    /** Eight targets that go down and up by turns, at random and in groups, while sound requests are served. */
    @Property(seed = "11", tries = 200)
    @Tag("property")
    void targetsThatCrashForOtherReasonsAccuseNoPartInUse(@ForAll long seed) {
        Random random = new Random(seed);
        PoisonDetector all = new PoisonDetector(time);
        List<String> parts = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            parts.add("p" + i);
        }
        all.recordCleared(parts);
        for (int i = 0; i < 200; i++) {
            time.advance(Duration.ofMillis(random.nextInt(300)));
            if (random.nextInt(4) == 0) {
                int together = 1 + random.nextInt(3);
                for (int target = 0; target < together; target++) {
                    all.recordEnd(new TargetEnd(
                            "t" + i + "/" + target, time.nanoTime(), Set.of(parts.get(random.nextInt(parts.size())))));
                }
            } else {
                all.recordCleared(List.of(parts.get(random.nextInt(parts.size()))));
            }
        }
        assertThat(all.quarantined()).isEmpty();
    }
}
