package io.masticfold.platform.store;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.claim.Claim;
import io.masticfold.core.claim.ClaimKey;
import io.masticfold.core.telemetry.Telemetry;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

class LeaseClientTests {

    private static final Duration TAKEOVER_TIMEOUT =
            LeaseClient.TERM.plus(LeaseClient.SAFETY_MARGIN).plusSeconds(4);

    private final FakeObjectStore store = new FakeObjectStore();
    private final ManualScheduler time = new ManualScheduler();
    private final PausableScheduler firstProcess = new PausableScheduler(time);
    private final PausableScheduler secondProcess = new PausableScheduler(time);
    private final LeaseClient first = new LeaseClient(store, firstProcess, new Random(1), "janitor", "e1");
    private final LeaseClient second = new LeaseClient(store, secondProcess, new Random(2), "janitor", "e2");

    enum Step {
        FREEZE_FIRST,
        RESUME_FIRST,
        FREEZE_SECOND,
        RESUME_SECOND,
        STORE_DOWN,
        LOSE_ANSWERS,
        STORE_UP,
        WAIT_1S,
        WAIT_5S,
        WAIT_20S
    }

    @Test
    void renewsWhileItRuns() {
        first.start();
        second.start();
        time.advance(Duration.ofMinutes(5));

        assertThat(first.lease()).isPresent();
        assertThat(second.lease()).isEmpty();
    }

    /** Guards against a holder that still uses the lease after a process pause longer than the term. */
    @Test
    void aPausedHolderSeesThatItsTermHasLapsed() {
        first.start();
        second.start();
        time.advance(Duration.ofSeconds(1));
        long fencingNumber = first.lease().orElseThrow().fencingNumber();
        firstProcess.pause();
        time.advance(TAKEOVER_TIMEOUT);

        assertThat(first.lease())
                .as("checked before any task of the process ran")
                .isEmpty();
        assertThat(second.lease().orElseThrow().fencingNumber()).isGreaterThan(fencingNumber);

        firstProcess.resume();
        time.advance(TAKEOVER_TIMEOUT);
        assertThat(first.lease()).isEmpty();
        assertThat(second.lease()).isPresent();
    }

    @Test
    void aReleasedLeaseIsTakenOverAtOnce() {
        first.start();
        second.start();
        time.advance(Duration.ofSeconds(1));
        first.stop();
        time.advance(Duration.ofSeconds(3));

        assertThat(second.lease()).isPresent();
    }

    /** Guards against two concurrent holders, and against a fencing number that does not increase. */
    @Property(seed = "20261204", tries = 300)
    void neverHasTwoHolders(@ForAll @Size(max = 30) List<Step> steps) {
        first.start();
        second.start();
        long greatest = 0;
        String holder = "";
        for (Step step : steps) {
            for (long millis = applyStep(step); millis >= 0; millis -= 250) {
                time.advance(Duration.ofMillis(millis == 0 ? 0 : 250));
                assertThat(first.lease().isPresent() && second.lease().isPresent())
                        .isFalse();
                LeaseClient client = first.lease().isPresent() ? first : second;
                String now = client == first ? "first" : "second";
                if (client.lease().isPresent()) {
                    long number = client.lease().orElseThrow().fencingNumber();
                    assertThat(number).isGreaterThanOrEqualTo(greatest);
                    assertThat(number > greatest || now.equals(holder)).isTrue();
                    greatest = number;
                    holder = now;
                }
            }
        }
    }

    private long applyStep(Step step) {
        switch (step) {
            case FREEZE_FIRST -> firstProcess.pause();
            case RESUME_FIRST -> firstProcess.resume();
            case FREEZE_SECOND -> secondProcess.pause();
            case RESUME_SECOND -> secondProcess.resume();
            case STORE_DOWN -> store.fault(FakeObjectStore.Fault.DOWN);
            case LOSE_ANSWERS -> store.fault(FakeObjectStore.Fault.LOSE_WRITE_ANSWERS);
            case STORE_UP -> store.fault(FakeObjectStore.Fault.NONE);
            case WAIT_1S -> {
                return 1_000;
            }
            case WAIT_5S -> {
                return 5_000;
            }
            default -> {
                return 20_000;
            }
        }
        return 0;
    }

    /** Guards against deleting claims within the retention period, which prevent a second run, or without the lease. */
    @Test
    void theJanitorDeletesOnlyClaimsPastRetention() {
        time.advance(ClaimJanitor.RETENTION.plusHours(2));
        long now = time.now().toEpochMilli();
        claim("old", now - ClaimJanitor.RETENTION.toMillis());
        claim(
                "young",
                now - ClaimJanitor.RETENTION.toMillis() + Duration.ofMinutes(30).toMillis());
        ClaimJanitor janitor = new ClaimJanitor(store, first, firstProcess, Telemetry.NONE);
        janitor.start();
        time.advance(Duration.ofMinutes(11));
        assertThat(store.names("claim")).as("without the lease").hasSize(2);

        first.start();
        time.advance(Duration.ofMinutes(11));

        assertThat(store.names("claim")).containsExactly("w.young.p.s");
    }

    private void claim(String key, long createdMillis) {
        Incarnation incarnation = new Incarnation(1, 2);
        Claim claim = new Claim(new AttemptId(incarnation, 1), "t1", incarnation, "f".repeat(64), createdMillis, null);
        store.write("claim", new ClaimKey("w", key, "p", "s").objectName(), ClaimCodec.encode(claim));
    }
}
