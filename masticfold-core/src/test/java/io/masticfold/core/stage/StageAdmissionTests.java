package io.masticfold.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against overloaded pools whose results end before they are read: the load of a day on which half of the servers
 * of the last stage are gone is replayed against the rule.
 */
final class StageAdmissionTests {

    private static StagePath path(long unloaded, long expected, long backlog) {
        return new StagePath(Duration.ofMillis(unloaded), Duration.ofMillis(expected), Duration.ofMillis(backlog));
    }

    @ParameterizedTest
    @CsvSource({
        "600, 700, 100, 1500, 8000, START",
        "600, 1600, 900, 1500, 8000, WAIT",
        // On time by the expectation alone, and late as most such requests were on busy days.
        "600, 1300, 900, 1500, 8000, WAIT",
        "600, 1600, 300, 1500, 8000, START",
        "600, 700, 900, -100, 8000, WAIT",
        "600, 700, 100, -100, 8000, START",
        "600, 700, 100, -100, 500, REFUSE",
    })
    void aRequestStartsIfItIsOnTimeOrThePoolsHaveLittleToDo(
            long unloaded, long expected, long backlog, long toAim, long toDeadline, StageAdmission.Verdict verdict) {
        assertThat(StageAdmission.decide(
                        path(unloaded, expected, backlog), Duration.ofMillis(toAim), Duration.ofMillis(toDeadline)))
                .isEqualTo(verdict);
    }

    @ParameterizedTest
    @CsvSource({"0, 8000, false", "3600, 8000, false", "3800, 8000, true", "100, 700, true"})
    void aNewRequestBehindOnesThatWaitedLongIsHopeless(long waited, long toDeadline, boolean hopeless) {
        assertThat(StageAdmission.hopeless(
                        Duration.ofMillis(waited), path(600, 700, 400), Duration.ofMillis(toDeadline)))
                .isEqualTo(hopeless);
    }

    /** Replays a burst of six seconds: a caller told to come back at once was refused a second time. */
    @ParameterizedTest
    @CsvSource({"0, 0, 8000, 0", "2000, 400, 8000, 2400", "4600, 400, 8000, 3700", "4600, 400, 500, 0"})
    void aRefusedCallerComesBackWhenThePoolsHaveDrainedAndStillInTime(
            long waited, long backlog, long toDeadline, long after) {
        assertThat(StageAdmission.comeBack(
                        Duration.ofMillis(waited), path(600, 700, backlog), Duration.ofMillis(toDeadline)))
                .isEqualTo(Duration.ofMillis(after));
    }

    @Test
    void anOverloadedPoolKeepsWhatItBeganInTime() {
        // 15 requests a second come to a pool that serves 13; results end 4 s after they were made.
        long keepMillis = 4_000;
        Deque<Long> begun = new ArrayDeque<>();
        Deque<Long> waiting = new ArrayDeque<>();
        long longestAfterBegin = 0;
        int refused = 0;
        int served = 0;
        for (long now = 0; now < 60_000; now += 10) {
            long backlog = begun.size() * 1000L / 13;
            StagePath path = path(600, 600 + backlog, backlog);
            if (now % 66 < 10) {
                if (StageAdmission.hopeless(
                        Duration.ofMillis(waiting.isEmpty() ? 0 : now - waiting.peek()),
                        path,
                        Duration.ofMillis(10_000))) {
                    refused++;
                } else {
                    waiting.add(now);
                }
            }
            while (!waiting.isEmpty()) {
                long age = now - waiting.peek();
                StageAdmission.Verdict verdict =
                        StageAdmission.decide(path, Duration.ofMillis(2_000 - age), Duration.ofMillis(10_000 - age));
                if (verdict == StageAdmission.Verdict.WAIT) {
                    break;
                }
                waiting.poll();
                if (verdict == StageAdmission.Verdict.START) {
                    begun.add(now);
                }
                backlog = begun.size() * 1000L / 13;
                path = path(600, 600 + backlog, backlog);
            }
            if (now % 77 < 10 && !begun.isEmpty()) {
                longestAfterBegin = Math.max(longestAfterBegin, now - begun.poll());
                served++;
            }
        }
        assertThat(longestAfterBegin).isLessThan(keepMillis);
        assertThat(served).isGreaterThan(700);
        assertThat(refused).isLessThan(200);
    }
}
