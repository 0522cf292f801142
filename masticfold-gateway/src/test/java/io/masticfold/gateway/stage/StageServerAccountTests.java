package io.masticfold.gateway.stage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against repeated calls to a server without free storage, and against counting storage twice. */
final class StageServerAccountTests {

    private static final long TOTAL = 1_000;
    private static final Duration KEEP = Duration.ofSeconds(4);

    private final TestTime time = new TestTime();
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
        time.advance(KEEP.plusNanos(1));

        assertThat(account.roomBytes(TOTAL)).isEqualTo(TOTAL);
    }

    @Test
    void resultsOfAFormerOwnerTakeRoomForAWhile() {
        account.keep("a", 300, KEEP);

        account.noRoom(TOTAL);

        assertThat(account.roomBytes(TOTAL)).isZero();
        time.advance(StageServerAccount.FOREIGN_TIME.dividedBy(2));
        assertThat(account.roomBytes(TOTAL)).isBetween(300L, 400L);
        time.advance(StageServerAccount.FOREIGN_TIME);
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
}
