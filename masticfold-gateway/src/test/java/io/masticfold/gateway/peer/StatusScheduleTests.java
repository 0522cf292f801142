package io.masticfold.gateway.peer;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.peer.proto.KindRead;
import io.masticfold.gateway.peer.proto.PeerStatus;
import io.masticfold.gateway.peer.proto.PoolCommitment;
import io.masticfold.gateway.peer.proto.ServerBacklog;
import io.masticfold.gateway.peer.proto.TargetObservation;
import java.time.Duration;
import java.time.Instant;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against peers that act on an outdated status, or close a connection, because frames are left out. */
final class StatusScheduleTests {

    private static final PeerStatus IDLE = PeerStatus.newBuilder()
            .setConfigurationVersion(3)
            .addReads(KindRead.newBuilder().setKind(1).setDigest(7).setAgeMillis(400))
            .addServers(ServerBacklog.newBuilder().setServer("s1").setRoomBytes(1000))
            .build();

    private long nanos;
    private final StatusSchedule schedule = new StatusSchedule(new TimeSource() {
        @Override
        public long nanoTime() {
            return nanos;
        }

        @Override
        public Instant now() {
            return Instant.EPOCH;
        }
    });

    static Stream<UnaryOperator<PeerStatus.Builder>> news() {
        return Stream.of(
                status -> status.setDraining(true),
                status -> status.setConfigurationVersion(4),
                status -> status.addTargets(TargetObservation.newBuilder().setTarget("t1@1")),
                status -> status.addCommitments(
                        PoolCommitment.newBuilder().setPool("scan").setPieces(1)),
                status -> status.setServers(
                        0, ServerBacklog.newBuilder().setServer("s1").setRoomBytes(900)),
                status ->
                        status.setServers(0, status.getServersBuilder(0).clone().setBacklogMillis(40)),
                PeerStatus.Builder::clearServers,
                PeerStatus.Builder::clearReads,
                status -> status.setReads(0, status.getReadsBuilder(0).clone().setDigest(8)),
                status -> status.setReads(0, status.getReadsBuilder(0).clone().setEra(1)),
                status -> status.setReads(0, status.getReadsBuilder(0).clone().setAgeMillis(20)));
    }

    @ParameterizedTest
    @MethodSource("news")
    void newsAreSentAtTheNextInterval(UnaryOperator<PeerStatus.Builder> change) {
        assertThat(schedule.send(IDLE, false)).isTrue();
        nextInterval();

        assertThat(schedule.send(change.apply(IDLE.toBuilder()).build(), false)).isTrue();
    }

    /** The end of a state is news as well: a peer would otherwise count pieces that are no longer coming. */
    @Test
    void endOfAStateIsSentAtTheNextInterval() {
        PeerStatus busy = IDLE.toBuilder()
                .addCommitments(PoolCommitment.newBuilder().setPool("scan").setPieces(1))
                .build();
        schedule.send(busy, false);
        nextInterval();

        assertThat(schedule.send(IDLE, false)).isTrue();
    }

    /** Growing ages of reads are known to the peers, which count on from the time of arrival. */
    @Test
    void olderReadsAreNoNews() {
        schedule.send(IDLE, false);
        nextInterval();
        PeerStatus.Builder later = IDLE.toBuilder();
        later.getReadsBuilder(0).setAgeMillis(500);

        assertThat(schedule.send(later.build(), false)).isFalse();
    }

    /** A peer that connects anew has discarded what it knew of this gateway when the connection was lost. */
    @Test
    void connectedPeerGetsTheStatusAtTheNextInterval() {
        schedule.send(IDLE, false);
        nextInterval();

        assertThat(schedule.send(IDLE, true)).isTrue();
    }

    /** Intervals vary by the delay of the event loop, here up to 30 ms; the heartbeat keeps its distance regardless. */
    @Test
    void idleGatewaySendsSeveralFramesInTheSilenceTimeout() {
        long lastSent = 0;
        long longest = 0;
        int sent = 0;
        schedule.send(IDLE, false);
        for (int interval = 1; interval <= 600; interval++) {
            nanos = PeerLinks.STATUS_INTERVAL.multipliedBy(interval).toNanos()
                    + Duration.ofMillis(interval * 7 % 31).toNanos();
            if (schedule.send(IDLE, false)) {
                sent++;
                longest = Math.max(longest, nanos - lastSent);
                lastSent = nanos;
            }
        }

        assertThat(Duration.ofNanos(longest)).isLessThan(PeerLinks.SILENCE_TIMEOUT.dividedBy(2));
        assertThat(sent).as("half of the intervals").isBetween(290, 310);
    }

    private void nextInterval() {
        nanos += PeerLinks.STATUS_INTERVAL.toNanos();
    }
}
