package io.masticfold.core.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against results that expire unread in an overloaded pool, with the load pattern of a pool that has lost half
 * of the servers of its last stage.
 */
final class StageAdmissionTests {

    private static CriticalPathEstimate path(long unloaded, long expected, long backlog) {
        return path(unloaded, expected, backlog, 0);
    }

    private static CriticalPathEstimate path(long unloaded, long expected, long backlog, long inputWait) {
        return new CriticalPathEstimate(
                Duration.ofMillis(unloaded),
                Duration.ofMillis(expected),
                Duration.ofMillis(backlog),
                Duration.ofMillis(inputWait),
                Duration.ofSeconds(4));
    }

    /** Load: a burst on a route whose latency objective is as long as the lifetime of the results between its stages. */
    @ParameterizedTest
    @CsvSource({"1900, START", "2100, WAIT", "3000, WAIT"})
    void requestWaitsIfItsResultsWouldExpireBeforeTheNextStage(long inputWait, StageAdmission.Verdict verdict) {
        assertThat(StageAdmission.decide(
                        path(900, 3100, inputWait, inputWait), Duration.ofMillis(4000), Duration.ofMillis(8000)))
                .isEqualTo(verdict);
    }

    @ParameterizedTest
    @CsvSource({
        "600, 700, 100, 1500, 8000, START",
        "600, 1600, 900, 1500, 8000, WAIT",
        // Meets its objective by the estimate, but not by the typical duration under heavy load.
        "600, 1300, 900, 1500, 8000, WAIT",
        "600, 1600, 300, 1500, 8000, START",
        "600, 700, 900, -100, 8000, WAIT",
        "600, 700, 100, -100, 8000, START",
        "600, 700, 100, -100, 500, REFUSE",
    })
    void aRequestStartsIfItIsOnTimeOrTheBacklogIsShort(
            long unloaded,
            long expected,
            long backlog,
            long timeToObjective,
            long timeToDeadline,
            StageAdmission.Verdict verdict) {
        assertThat(StageAdmission.decide(
                        path(unloaded, expected, backlog),
                        Duration.ofMillis(timeToObjective),
                        Duration.ofMillis(timeToDeadline)))
                .isEqualTo(verdict);
    }

    @ParameterizedTest
    @CsvSource({"0, 8000, false", "3600, 8000, false", "3800, 8000, true", "100, 700, true"})
    void aNewRequestIsRefusedIfOthersHaveWaitedTooLong(long waited, long timeToDeadline, boolean refused) {
        assertThat(StageAdmission.exceedsMaxWait(
                        Duration.ofMillis(waited), path(600, 700, 400), Duration.ofMillis(timeToDeadline)))
                .isEqualTo(refused);
    }

    /** In a burst of six seconds, callers that were told to retry immediately were refused a second time. */
    @ParameterizedTest
    @CsvSource({"0, 0, 8000, 0", "2000, 400, 8000, 2400", "4600, 400, 8000, 3700", "4600, 400, 500, 0"})
    void aRefusedCallerRetriesAfterThePoolsHaveDrainedAndBeforeItsDeadline(
            long waited, long backlog, long timeToDeadline, long after) {
        assertThat(StageAdmission.retryAfter(
                        Duration.ofMillis(waited), path(600, 700, backlog), Duration.ofMillis(timeToDeadline)))
                .isEqualTo(Duration.ofMillis(after));
    }

    @Test
    void anOverloadedPoolServesStartedRequestsBeforeTheirResultsExpire() {
        // 15 requests per second arrive at a pool that serves 13 per second; results expire after 4 s.
        long resultLifetimeMillis = 4_000;
        Deque<Long> started = new ArrayDeque<>();
        Deque<Long> waiting = new ArrayDeque<>();
        long longestServiceMillis = 0;
        int refused = 0;
        int served = 0;
        for (long now = 0; now < 60_000; now += 10) {
            long backlog = started.size() * 1000L / 13;
            CriticalPathEstimate path = path(600, 600 + backlog, backlog);
            if (now % 66 < 10) {
                if (StageAdmission.exceedsMaxWait(
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
                    started.add(now);
                }
                backlog = started.size() * 1000L / 13;
                path = path(600, 600 + backlog, backlog);
            }
            if (now % 77 < 10 && !started.isEmpty()) {
                longestServiceMillis = Math.max(longestServiceMillis, now - started.poll());
                served++;
            }
        }
        assertThat(longestServiceMillis).isLessThan(resultLifetimeMillis);
        assertThat(served).isGreaterThan(700);
        assertThat(refused).isLessThan(200);
    }
}
