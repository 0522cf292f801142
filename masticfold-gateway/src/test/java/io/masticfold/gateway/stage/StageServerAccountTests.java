package io.masticfold.gateway.stage;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against a server that is called again and again without room, and against room that is counted twice. */
final class StageServerAccountTests {

    private static final long TOTAL = 1_000;
    private static final Duration KEEP = Duration.ofSeconds(4);

    private final Clock time = new Clock();
    private final StageServerAccount account = new StageServerAccount(time);

    @Test
    void roomIsFreeOnceTheServerWasTold() {
        account.keep("a", 300, KEEP);
        account.release("a");
        assertThat(account.roomBytes(TOTAL)).isEqualTo(700);

        account.freed(account.takeReleased());
        assertThat(account.roomBytes(TOTAL)).isEqualTo(TOTAL);
        account.freed(List.of("a"));
        assertThat(account.roomBytes(TOTAL)).isEqualTo(TOTAL);
    }

    @Test
    void resultsEndWithTheirKeepTime() {
        account.keep("a", 300, KEEP);
        time.nanos += KEEP.toNanos() + 1;

        assertThat(account.roomBytes(TOTAL)).isEqualTo(TOTAL);
    }

    @Test
    void resultsOfAFormerOwnerTakeRoomForAWhile() {
        account.keep("a", 300, KEEP);

        account.noRoom(TOTAL);

        assertThat(account.roomBytes(TOTAL)).isZero();
        time.nanos += StageServerAccount.FOREIGN_TIME.toNanos() / 2;
        assertThat(account.roomBytes(TOTAL)).isBetween(300L, 400L);
        time.nanos += StageServerAccount.FOREIGN_TIME.toNanos();
        assertThat(account.roomBytes(TOTAL)).isEqualTo(700);
    }

    @Test
    void readResultsAreReleasedOnlyWhenAsked() {
        account.keep("a", 300, KEEP);
        account.evictable(List.of("a", "unknown"));
        assertThat(account.takeReleased()).isEmpty();

        assertThat(account.evict()).isTrue();
        assertThat(account.takeReleased()).containsExactly("a");
        assertThat(account.evict()).isFalse();
    }

    /** Gives the time that the test sets. */
    private static final class Clock implements TimeSource {

        private long nanos;

        @Override
        public long nanoTime() {
            return nanos;
        }

        @Override
        public Instant now() {
            return Instant.EPOCH;
        }
    }
}
