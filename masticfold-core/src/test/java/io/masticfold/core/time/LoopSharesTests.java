package io.masticfold.core.time;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against peers whose input keeps an event loop busy all the time. */
final class LoopSharesTests {

    private static final Duration TURN = Duration.ofMillis(5);

    private final ManualScheduler clock = new ManualScheduler();
    private final LoopShares<String> shares = new LoopShares<>(clock);

    /** Plays a loop on which all peers always have input, and returns the share of the time that it took. */
    private double busyShare(List<String> peers, Duration length) {
        long start = clock.nanoTime();
        long busy = 0;
        while (clock.nanoTime() - start < length.toNanos()) {
            boolean read = false;
            for (String peer : peers) {
                if (shares.waitTime(peer).isZero()) {
                    clock.advance(TURN);
                    shares.charge(peer, TURN.toNanos(), 0);
                    busy += TURN.toNanos();
                    read = true;
                }
            }
            if (!read) {
                clock.advance(Duration.ofMillis(1));
            }
        }
        return busy / (double) (clock.nanoTime() - start);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 20})
    void floodingPeersTakeMoreThanHalfOfTheLoopTogether(int count) {
        List<String> peers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            peers.add("peer-" + i);
        }
        busyShare(peers, LoopShares.BURST.multipliedBy(4L * count));

        assertThat(busyShare(peers, Duration.ofSeconds(20))).isBetween(0.3, 0.55);
    }

    @Test
    void floodOfOnePeerHoldsBackAnother() {
        busyShare(List.of("flood"), Duration.ofSeconds(2));
        shares.charge("flood", TURN.toNanos(), 0);

        assertThat(shares.heldBack()).isEqualTo(1);
        shares.charge("other", TURN.toNanos(), 0);
        assertThat(shares.waitTime("other")).isZero();
    }

    @Test
    void manyShortTurnsHoldAPeerBack() {
        for (int i = 0; i < 10_000; i++) {
            shares.charge("peer", LoopShares.SHORT_TURN.toNanos() - 1, 0);
        }

        assertThat(shares.waitTime("peer")).isZero();
    }

    @Test
    void manyTurnsAtOneMomentHoldAPeerBackForSeconds() {
        for (int i = 0; i < 100; i++) {
            shares.charge("peer", LoopShares.MAX_CHARGE.toNanos(), 0);
        }

        assertThat(shares.waitTime("peer")).isLessThanOrEqualTo(LoopShares.BURST.multipliedBy(2));
    }

    @Test
    void pauseOfTheProcessIsChargedToThePeerThatWasBeingRead() {
        shares.charge("peer", Duration.ofSeconds(10).toNanos(), 0);

        assertThat(shares.waitTime("peer")).isZero();
    }

    @Test
    void connectionsOfAPeerResumeTogether() {
        busyShare(List.of("flood"), Duration.ofSeconds(2));
        clock.advance(shares.waitTime("flood"));
        assertThat(shares.waitTime("flood")).isZero();

        long prepaid = shares.prepay("flood", TURN.toNanos());

        assertThat(shares.waitTime("flood")).isPositive();
        shares.charge("flood", 0, prepaid);
        assertThat(shares.waitTime("flood")).isZero();
    }

    @Test
    void peerStaysHeldBackAfterItsFloodHasEnded() {
        busyShare(List.of("flood"), Duration.ofSeconds(2));
        clock.advance(LoopShares.BURST.multipliedBy(3));
        shares.forgetIdle();

        assertThat(shares.heldBack()).isZero();
        shares.charge("flood", LoopShares.MAX_CHARGE.toNanos(), 0);
        assertThat(shares.waitTime("flood")).isZero();
    }
}
