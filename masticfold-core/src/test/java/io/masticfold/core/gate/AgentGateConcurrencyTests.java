package io.masticfold.core.gate;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.error.Ran;
import io.masticfold.core.link.StageListener;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.ManualScheduler;
import io.masticfold.core.time.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

/** Guards against races: several threads send the same attempts, seal and cancel them while calls end on others. */
final class AgentGateConcurrencyTests {

    private static final int THREADS = 4;
    private static final int ATTEMPTS = 5_000;
    private static final int LIMIT = 8;

    private final Set<AttemptId> executed = ConcurrentHashMap.newKeySet();
    private final Set<AttemptId> notRun = ConcurrentHashMap.newKeySet();
    private final AtomicInteger secondExecutions = new AtomicInteger();
    private final AtomicInteger overLimit = new AtomicInteger();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger outcomes = new AtomicInteger();

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
        CountDownLatch ended = new CountDownLatch(THREADS * ATTEMPTS);
        ExecutorService links = Executors.newFixedThreadPool(THREADS);
        for (int thread = 0; thread < THREADS; thread++) {
            links.execute(() -> LongStream.rangeClosed(1, ATTEMPTS).forEach(counter -> send(gate, counter, ended)));
        }

        assertThat(ended.await(60, TimeUnit.SECONDS)).as("all dispatches ended").isTrue();
        links.shutdown();
        target.shutdown();
        assertThat(target.awaitTermination(60, TimeUnit.SECONDS)).isTrue();
        assertThat(outcomes).hasValue(THREADS * ATTEMPTS);
        assertThat(secondExecutions).hasValue(0);
        assertThat(overLimit).hasValue(0);
        assertThat(executed).doesNotContainAnyElementsOf(notRun).isNotEmpty();
        assertThat(gate.load().inFlight() + gate.load().queued()).isZero();
    }

    private void send(AgentGate gate, long counter, CountDownLatch ended) {
        AttemptId attempt = new AttemptId(GateFixture.ENTRY, counter);
        gate.dispatch(
                GateFixture.dispatch(attempt, GateFixture.AGENT, (int) (counter % 10), 1_000, 0, counter % 2 == 0),
                new CountingListener(attempt, ended));
        if (counter % 3 == 0) {
            gate.seal(attempt, GateFixture.AGENT, outcome -> {
                if (outcome.state() == SealOutcome.State.NOT_RUN) {
                    notRun.add(attempt);
                }
            });
        }
        if (counter % 5 == 0) {
            gate.cancel(attempt);
        }
    }

    private TargetCall execute(StageDispatch dispatch, TargetListener listener, ExecutorService target) {
        if (!executed.add(dispatch.attempt())) {
            secondExecutions.incrementAndGet();
        }
        if (inFlight.incrementAndGet() > LIMIT) {
            overLimit.incrementAndGet();
        }
        target.execute(() -> {
            inFlight.decrementAndGet();
            listener.completed(Payload.EMPTY);
        });
        return new IdleCall();
    }

    private static void put(ConfigReplica config, long version, ConfigSpec spec) {
        config.merge(List.of(new ConfigObject(new ObjectKey(spec.kind(), spec.name()), version, "change", spec)));
    }

    private final class CountingListener implements StageListener {

        private final AttemptId attempt;
        private final CountDownLatch ended;

        CountingListener(AttemptId attempt, CountDownLatch ended) {
            this.attempt = attempt;
            this.ended = ended;
        }

        @Override
        public void chunk(long _offset, Payload _bytes) {}

        @Override
        public void outcome(StageOutcome outcome, TargetLoad _load) {
            if (outcome.ran() == Ran.NO) {
                notRun.add(attempt);
            }
            outcomes.incrementAndGet();
            ended.countDown();
        }
    }

    /** Does nothing; the calls of this test always complete. */
    private static final class IdleCall implements TargetCall {

        @Override
        public void cancel() {}

        @Override
        public void grant(int _bytes) {}
    }

    /** Stands still, so that no verdict depends on the clock. */
    private static final class FrozenScheduler implements Scheduler {

        private final ManualScheduler clock = new ManualScheduler();

        @Override
        public long nanoTime() {
            return clock.nanoTime();
        }

        @Override
        public Instant now() {
            return clock.now();
        }

        @Override
        public Cancellable schedule(Duration _delay, Runnable _task) {
            return Cancellable.NONE;
        }
    }
}
