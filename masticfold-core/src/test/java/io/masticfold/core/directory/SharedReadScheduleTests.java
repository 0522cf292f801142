package io.masticfold.core.directory;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticfold.core.directory.SharedReadSchedule.ReadState;
import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against store reads that grow with the number of gateways, and against gateways that read too late. */
final class SharedReadScheduleTests {

    private static final Duration READER = Duration.ofMillis(700);
    private static final Duration FOLLOWER = Duration.ofMillis(1100);
    private static final ReadState KNOWN = new ReadState(1, 42);

    private final ManualScheduler time = new ManualScheduler();
    private final SharedReadSchedule schedule = new SharedReadSchedule(time, READER, FOLLOWER);

    @ParameterizedTest
    @CsvSource({
        // reader, era and digest of the peer, age of its read, time since the own read, delay
        "true,  1, 42, 100, 700, 600",
        "false, 1, 42, 100, 700, 1000",
        "false, 1, 42, 1200, 2000, 0",
        "false, 1, 43, 100, 700, 0",
        "false, 2, 42, 100, 700, 0",
        // The own read is later than the change that the peer has read.
        "false, 1, 43, 800, 700, 400",
        "true,  1, 43, 800, 300, 400",
    })
    void aReadIsDueByTheLatestReadOfTheSameState(
            boolean reader, long era, long digest, long ageMillis, long ownAgeMillis, long delayMillis) {
        schedule.recordOwnRead();
        time.advance(Duration.ofMillis(ownAgeMillis));
        schedule.recordPeerRead("g1", new ReadState(era, digest), Duration.ofMillis(ageMillis));

        assertThat(schedule.delay(reader, KNOWN)).isEqualTo(Duration.ofMillis(delayMillis));
    }

    @Test
    void aLostPeerDelaysNoRead() {
        time.advance(Duration.ofMillis(1200));
        schedule.recordPeerRead("g1", KNOWN, Duration.ZERO);
        schedule.removePeer("g1");

        assertThat(schedule.delay(false, KNOWN)).isZero();
    }

    @Test
    void anIntervalOfFollowersWithinTheReadersIsRejected() {
        assertThatThrownBy(() -> new SharedReadSchedule(time, READER, READER))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("followerInterval");
    }

    /** Otherwise all gateways would read in the same moment when they lose the reader. */
    @ParameterizedTest
    @ValueSource(ints = {4, 33, 100})
    void aReadOfALostReaderThatIsKeptLetsTheNextOneTakeOverAlone(int gateways) {
        time.advance(FOLLOWER.multipliedBy(20));
        List<SharedReadSchedule> followers = IntStream.range(0, gateways)
                .mapToObj(_i -> new SharedReadSchedule(time, READER, FOLLOWER))
                .toList();
        followers.forEach(SharedReadSchedule::recordOwnRead);
        time.advance(FOLLOWER.multipliedBy(10));
        followers.forEach(follower -> follower.recordPeerRead("lost", KNOWN, Duration.ZERO));
        time.advance(READER);

        assertThat(followers.get(0).delay(true, KNOWN)).isZero();
        assertThat(followers.subList(1, gateways))
                .allMatch(follower -> follower.delay(false, KNOWN).equals(FOLLOWER.minus(READER)));
        followers.get(0).recordOwnRead();
        followers.subList(1, gateways).forEach(follower -> follower.recordPeerRead("next", KNOWN, Duration.ZERO));
        time.advance(READER);
        assertThat(followers.subList(1, gateways))
                .noneMatch(follower -> follower.delay(false, KNOWN).isZero());
    }

    @Test
    void nothingIsConfirmedBeforeTheFirstRead() {
        assertThat(schedule.confirmedNanos(KNOWN)).isEmpty();
        schedule.recordPeerRead("g1", new ReadState(1, 43), Duration.ZERO);
        assertThat(schedule.confirmedNanos(KNOWN)).isEmpty();

        time.advance(Duration.ofMillis(500));
        schedule.recordPeerRead("g2", KNOWN, Duration.ofMillis(100));

        assertThat(schedule.confirmedNanos(KNOWN))
                .hasValue(Duration.ofMillis(400).toNanos());
    }

    /** Replays gateways that tell each other their reads every 100 ms, of which the reader fails after 20 s. */
    @ParameterizedTest
    @CsvSource({"4", "33", "100"})
    void readsDoNotGrowWithTheGatewaysAndAFailedReaderIsReplacedInTime(int gateways) {
        SharedReadSchedule[] all = IntStream.range(0, gateways)
                .mapToObj(_i -> new SharedReadSchedule(time, READER, FOLLOWER))
                .toArray(SharedReadSchedule[]::new);
        int reads = 0;
        int firstAlive = 0;
        Duration longestAge = Duration.ZERO;
        for (int now = 0; now < 40_000; now += 100) {
            time.advance(Duration.ofMillis(100));
            if (now == 20_000) {
                firstAlive = 1;
                for (SharedReadSchedule schedule : all) {
                    schedule.removePeer("g0");
                }
            }
            for (int i = firstAlive; i < gateways; i++) {
                if (all[i].delay(i == firstAlive, KNOWN).isZero()) {
                    all[i].recordOwnRead();
                    reads++;
                }
            }
            Duration youngest = all[firstAlive].ownReadAge();
            for (int i = firstAlive + 1; i < gateways; i++) {
                youngest = youngest.compareTo(all[i].ownReadAge()) < 0 ? youngest : all[i].ownReadAge();
            }
            longestAge = longestAge.compareTo(youngest) > 0 ? longestAge : youngest;
            for (int i = firstAlive; i < gateways; i++) {
                for (int peer = firstAlive; peer < gateways; peer++) {
                    all[i].recordPeerRead("g" + peer, KNOWN, all[peer].ownReadAge());
                }
            }
        }
        assertThat(reads).isLessThan(40 * 2 + 2 * gateways);
        assertThat(longestAge).isLessThanOrEqualTo(FOLLOWER);
    }
}
