package io.masticfold.gateway.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against repeated calls to a server without free storage, and against counting storage twice. */
final class StageServerStateTests {

    private static final long TOTAL = 1_000;
    private static final Duration KEEP = Duration.ofSeconds(4);

    private final ManualTimeSource time = new ManualTimeSource();
    private final StageServerState state = new StageServerState(time, new ServerPauses.Pause());

    @Test
    void storageIsFreeOnceReleased() {
        state.addResult("a", 300, KEEP);
        state.addPendingRelease("a");
        assertThat(state.freeBytes(TOTAL)).isEqualTo(700);

        state.removeResults(state.takePendingReleases());
        assertThat(state.freeBytes(TOTAL)).isEqualTo(TOTAL);
        state.removeResults(List.of("a"));
        assertThat(state.freeBytes(TOTAL)).isEqualTo(TOTAL);
    }

    @Test
    void resultsExpireAfterRetentionTime() {
        state.addResult("a", 300, KEEP);
        time.advance(KEEP.plusNanos(1));

        assertThat(state.freeBytes(TOTAL)).isEqualTo(TOTAL);
    }

    @Test
    void resultsOfFormerOwnerOccupyStorageTemporarily() {
        state.addResult("a", 300, KEEP);

        state.recordNoStorage(TOTAL);

        assertThat(state.freeBytes(TOTAL)).isZero();
        time.advance(StageServerState.FOREIGN_RESULT_LIFETIME.dividedBy(2));
        assertThat(state.freeBytes(TOTAL)).isBetween(300L, 400L);
        time.advance(StageServerState.FOREIGN_RESULT_LIFETIME);
        assertThat(state.freeBytes(TOTAL)).isEqualTo(700);
    }

    @Test
    void evictableResultsAreReleasedOnlyOnEviction() {
        state.addResult("a", 300, KEEP);
        state.markEvictable(List.of("a", "unknown"));
        assertThat(state.takePendingReleases()).isEmpty();

        assertThat(state.evictAll()).isTrue();
        assertThat(state.takePendingReleases()).containsExactly("a");
        assertThat(state.evictAll()).isFalse();
    }
}
