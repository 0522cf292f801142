package io.masticfold.core.shutdown;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a stopping process that accepts requests which its exit cuts, or refuses ones that it could serve. */
final class GracefulShutdownTests {

    private static final Duration UNTIL_ANNOUNCED = Duration.ofMillis(3000);
    private static final Duration UNTIL_EXIT = Duration.ofMillis(8000);
    private static final String ROUTE = "advice";

    private final ManualScheduler time = new ManualScheduler();
    private final GracefulShutdown shutdown = new GracefulShutdown(time);

    @ParameterizedTest
    @CsvSource({
        // sinceBegin, recent, window, accepted
        "0, 6000, 10000, true",
        "2000, 6000, 10000, true",
        "2001, 6000, 10000, false",
        "2999, 50, 10000, true",
        "2000, 9000, 6000, true",
        "2001, 9000, 6000, false",
        // Once callers know of the shutdown, the recent durations prove nothing.
        "3000, 50, 5000, true",
        "3000, 50, 5001, false",
        "7000, 50, 1000, true",
        "7000, 50, 1001, false",
        "8000, 50, 1, false",
    })
    void requestThatTheExitWouldCutIsRefused(int sinceBegin, int recent, int window, boolean accepted) {
        shutdown.recordCompleted(ROUTE, Duration.ofMillis(recent));
        shutdown.begin(UNTIL_ANNOUNCED, UNTIL_EXIT);
        time.advance(Duration.ofMillis(sinceBegin));
        assertThat(shutdown.accepts(ROUTE, Duration.ofMillis(window))).isEqualTo(accepted);
    }

    @ParameterizedTest
    @CsvSource({"8000, true", "8001, false"})
    void requestOfARouteThatHasNotServedIsExpectedToTakeItsWholeWindow(int window, boolean accepted) {
        shutdown.begin(UNTIL_ANNOUNCED, UNTIL_EXIT);
        assertThat(shutdown.accepts("other", Duration.ofMillis(window))).isEqualTo(accepted);
    }

    @Test
    void secondSignalDoesNotMoveTheExit() {
        shutdown.begin(UNTIL_ANNOUNCED, UNTIL_EXIT);
        time.advance(Duration.ofMillis(7000));
        shutdown.begin(UNTIL_ANNOUNCED, UNTIL_EXIT);
        assertThat(shutdown.phase()).isEqualTo(ShutdownPhase.FINISHING);
        assertThat(shutdown.accepts(ROUTE, Duration.ofMillis(1001))).isFalse();
    }

    @Test
    void processThatExitsEarlyAcceptsNothing() {
        shutdown.begin(UNTIL_ANNOUNCED, UNTIL_EXIT);
        shutdown.exit();
        assertThat(shutdown.accepts(ROUTE, Duration.ofMillis(1))).isFalse();
        assertThat(shutdown.phase()).isEqualTo(ShutdownPhase.EXITING);
    }

    @Test
    void longDurationsAreForgottenAfterEnoughShortOnes() {
        shutdown.recordCompleted(ROUTE, Duration.ofMillis(9000));
        for (int i = 0; i < 2 * RecentMaximum.BLOCK_SIZE; i++) {
            shutdown.recordCompleted(ROUTE, Duration.ofMillis(100));
        }
        shutdown.begin(UNTIL_ANNOUNCED, UNTIL_EXIT);
        assertThat(shutdown.accepts(ROUTE, Duration.ofMillis(10000))).isTrue();
    }

    @Test
    void durationsOfRemovedRoutesAreForgotten() {
        shutdown.recordCompleted(ROUTE, Duration.ofMillis(100));
        shutdown.retainRoutes(Set.of("other"));
        shutdown.begin(UNTIL_ANNOUNCED, UNTIL_EXIT);
        assertThat(shutdown.accepts(ROUTE, Duration.ofMillis(10000))).isFalse();
    }

    @Test
    void runningProcessAcceptsEverything() {
        assertThat(shutdown.accepts(ROUTE, Duration.ofHours(1))).isTrue();
    }
}
