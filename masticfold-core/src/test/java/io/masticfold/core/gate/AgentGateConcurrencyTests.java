package io.masticfold.core.gate;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against races: several threads dispatch, seal and cancel the same attempts while other threads end calls. */
final class AgentGateConcurrencyTests {

    private static final int THREADS = 4;
    private static final int ATTEMPTS = 5_000;
    private static final int LIMIT = 8;

    private final Set<AttemptId> executed = ConcurrentHashMap.newKeySet();
    private final Set<AttemptId> sealedNotRun = ConcurrentHashMap.newKeySet();
    private final Map<RecordingListener, AttemptId> attemptsByListener = new ConcurrentHashMap<>();
    private final AtomicInteger violations = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final CountDownLatch ended = new CountDownLatch(THREADS * ATTEMPTS);

    @Test
    void everyAttemptRunsAtMostOnceAndEveryDispatchEndsOnce() throws InterruptedException {
        ConfigReplica config = new ConfigReplica();
        put(config, 1, new Zone("z1", "r1", ZoneState.IN));
        put(config, 2, GateFixture.target(TargetState.SERVING, LIMIT, LIMIT, 50));
        ExecutorService target = Executors.newFixedThreadPool(THREADS);
        AgentGate gate = new AgentGate(
                AgentGateSettings.of(GateFixture.TARGET, GateFixture.AGENT),
                config,
                (dispatch, _budget, listener) -> execute(dispatch, listener, target),
                new FrozenScheduler(),
                Telemetry.NONE);
        ExecutorService links = Executors.newFixedThreadPool(THREADS);
        for (int thread = 0; thread < THREADS; thread++) {
            links.execute(() -> LongStream.rangeClosed(1, ATTEMPTS).forEach(counter -> send(gate, counter)));
        }

        assertThat(ended.await(60, TimeUnit.SECONDS)).as("all dispatches ended").isTrue();
        links.shutdown();
        target.shutdown();
        assertThat(links.awaitTermination(60, TimeUnit.SECONDS)).isTrue();
        assertThat(target.awaitTermination(60, TimeUnit.SECONDS)).isTrue();
        assertThat(violations)
                .as("duplicate executions and calls above the limit")
                .hasValue(0);
        assertThat(executed).isNotEmpty().doesNotContainAnyElementsOf(sealedNotRun);
        assertThat(gate.load().inFlight() + gate.load().queued()).isZero();
        attemptsByListener.forEach((listener, attempt) -> {
            assertThat(listener.outcomes()).hasSize(1);
            boolean refused = listener.outcomes().get(0) instanceof StageRefused;
            assertThat(refused && executed.contains(attempt))
                    .as("attempt was refused and executed")
                    .isFalse();
        });
    }

    private void send(AgentGate gate, long counter) {
        AttemptId attempt = new AttemptId(GateFixture.ENTRY, counter);
        RecordingListener listener = new RecordingListener(ended::countDown);
        attemptsByListener.put(listener, attempt);
        gate.dispatch(
                GateFixture.dispatch(attempt, GateFixture.AGENT, (int) (counter % 10), 1_000, 0, counter % 2 == 0),
                listener);
        if (counter % 3 == 0) {
            gate.seal(attempt, GateFixture.AGENT, outcome -> {
                if (outcome.state() == SealOutcome.State.NOT_RUN) {
                    sealedNotRun.add(attempt);
                }
            });
        }
        if (counter % 5 == 0) {
            gate.cancel(attempt);
        }
    }

    private TargetCall execute(StageDispatch dispatch, TargetListener listener, ExecutorService target) {
        boolean duplicate = !executed.add(dispatch.attempt());
        boolean aboveLimit = inFlight.incrementAndGet() > LIMIT;
        if (duplicate || aboveLimit) {
            violations.incrementAndGet();
        }
        target.execute(() -> {
            inFlight.decrementAndGet();
            listener.completed(Payload.EMPTY);
        });
        return new NoOpCall();
    }

    private static void put(ConfigReplica config, long version, ConfigSpec spec) {
        config.merge(List.of(new ConfigObject(new ObjectKey(spec.kind(), spec.name()), version, "change", spec)));
    }

    /** Ignores cancellation and credit; all calls of this test complete on their own. */
    private record NoOpCall() implements TargetCall {

        @Override
        public void cancel() {}

        @Override
        public void grant(int _bytes) {}
    }

    /** A clock that never advances, so that no admission decision depends on time. */
    private record FrozenScheduler() implements Scheduler {

        @Override
        public long nanoTime() {
            return 0;
        }

        @Override
        public Instant now() {
            return Instant.EPOCH;
        }

        @Override
        public Cancellable schedule(Duration _delay, Runnable _task) {
            return Cancellable.NONE;
        }
    }
}
