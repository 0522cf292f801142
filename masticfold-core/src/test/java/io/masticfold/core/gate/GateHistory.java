package io.masticfold.core.gate;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.LedgerSettings;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.Temperature;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Applies random steps to a gate and checks the invariants after each step and on each call to the target. */
final class GateHistory {

    private static final ErrorKind[] FAILURES = {
        ErrorKind.TARGET_UNREACHABLE, ErrorKind.TARGET_FAILED, ErrorKind.STAGE_TIMEOUT, ErrorKind.OVERLOADED
    };

    /** Steps that may occur between the reservation of a slot for an attempt and its call. */
    private static final GateStep.Action[] INTERRUPTIONS = {
        GateStep.Action.REPORT,
        GateStep.Action.PAUSE,
        GateStep.Action.ZONE,
        GateStep.Action.TARGET,
        GateStep.Action.CANCEL_ALL,
        GateStep.Action.REBOOT
    };

    private static final Incarnation[] ENTRIES = {new Incarnation(10, 1), new Incarnation(20, 2), new Incarnation(15, 3)
    };
    private static final long REPORT_TIMEOUT_NANOS = SlowStartLimit.REPORT_TIMEOUT.toNanos();

    private final LedgerSettings ledger;
    private final GateFixture fixture;
    private final FakeTarget target;
    private final List<StageDispatch> sent = new ArrayList<>();
    private final List<RecordingListener> listeners = new ArrayList<>();
    private final Set<AttemptId> mustNotRun = new HashSet<>();
    private final Set<AttemptId> executed = new HashSet<>();
    private final long[] counters = new long[ENTRIES.length];
    private Incarnation agent = GateFixture.AGENT;
    private boolean zoneIn = true;
    private boolean serving = true;
    private boolean leaving;
    private int cold = 1;
    private int boot;
    private boolean reportedCold;
    private long reportedNanos;

    GateHistory(LedgerSettings ledger) {
        this.ledger = ledger;
        this.fixture = new GateFixture(ledger);
        this.target = fixture.target();
        fixture.put(new Zone("z1", "r1", ZoneState.IN));
        fixture.put(GateFixture.target(TargetState.SERVING, cold, 4, 2));
        target.onCall(this::checkCall);
    }

    void play(GateStep step) {
        switch (step.action()) {
            case DISPATCH -> dispatch(step, true);
            case DISPATCH_NON_IDEMPOTENT -> dispatch(step, false);
            case DUPLICATE -> duplicate(step);
            case SEAL -> seal(step);
            case SEAL_NEW -> sealAndCheck(newId(step), agent);
            case CANCEL -> cancel(step);
            case CANCEL_ALL -> List.copyOf(sent).forEach(one -> fixture.gate().cancel(one.attempt()));
            case COMPLETE -> complete(step);
            case FAIL -> fail(step);
            case ADVANCE -> fixture.scheduler().advance(Duration.ofMillis(step.value() * 10L));
            case PAUSE -> fixture.scheduler().pause(Duration.ofMillis(step.value() * 20L));
            case REPORT -> report(step);
            case REBOOT -> reboot(step);
            case ZONE -> zone(step.value() % 2 == 0);
            case TARGET -> target(step);
            case LEAVE -> leave(step);
            case RESTART -> restart(step);
            default -> throw new IllegalArgumentException("unknown step " + step);
        }
        checkAnswers();
    }

    /** Ends all open calls and checks that no attempt, queue position or timer is left. */
    void finish() {
        while (!target.openCalls().isEmpty()) {
            target.complete(target.openCalls().get(0), "end");
        }
        fixture.scheduler().advance(Duration.ofMinutes(20));
        while (!target.openCalls().isEmpty()) {
            target.complete(target.openCalls().get(0), "end");
        }
        checkAnswers();
        assertThat(listeners)
                .allSatisfy(listener -> assertThat(listener.outcomes()).hasSize(1));
        assertThat(fixture.gate().inFlight()).isZero();
        assertThat(fixture.gate().load().queued()).isZero();
        assertThat(fixture.scheduler().pending()).isZero();
    }

    private void checkCall(StageDispatch dispatch) {
        AttemptId attempt = dispatch.attempt();
        assertThat(executed.add(attempt)).as("%s is executed once", attempt).isTrue();
        assertThat(mustNotRun).as("attempts that must not run").doesNotContain(attempt);
        assertThat(dispatch.agent()).as("agent incarnation of the dispatch").isEqualTo(agent);
        assertThat(zoneIn && serving && !leaving)
                .as("zone in, target serving and agent not leaving")
                .isTrue();
        int limit = fixture.gate().load().limit();
        assertThat(target.openCalls().size()).as("open calls").isLessThanOrEqualTo(limit);
        if (reportedCold && fixture.scheduler().nanoTime() - reportedNanos <= REPORT_TIMEOUT_NANOS) {
            assertThat(limit).as("limit of a target that reported being cold").isLessThanOrEqualTo(cold);
        }
    }

    private void checkAnswers() {
        assertThat(fixture.failureCounters())
                .as("exceptions caught by the gate")
                .isEmpty();
        for (int i = 0; i < sent.size(); i++) {
            RecordingListener listener = listeners.get(i);
            AttemptId attempt = sent.get(i).attempt();
            assertThat(listener.outcomes()).as("outcomes of %s", attempt).hasSizeLessThanOrEqualTo(1);
            if (listener.outcomes().stream().anyMatch(StageRefused.class::isInstance)) {
                mustNotRun.add(attempt);
                assertThat(executed).as("attempts that ran").doesNotContain(attempt);
            }
        }
    }

    private void dispatch(GateStep step, boolean idempotent) {
        Incarnation addressed = step.value() % 13 == 0 ? new Incarnation(1, 1) : agent;
        send(GateFixture.dispatch(
                newId(step), addressed, step.value() % 10, step.value() * 5L, step.pick() % 40, idempotent));
    }

    private void send(StageDispatch dispatch) {
        sent.add(dispatch);
        int index = sent.size();
        GateStep.Action action = INTERRUPTIONS[index / 3 % INTERRUPTIONS.length];
        Incarnation sender = agent;
        RecordingListener listener = new RecordingListener(() -> {
            if (index % 3 == 0 && sender.equals(agent)) {
                play(new GateStep(action, index * 7 % 100, index * 13 % 100));
            }
        });
        listeners.add(listener);
        fixture.gate().dispatch(dispatch, listener);
    }

    private void duplicate(GateStep step) {
        if (!sent.isEmpty()) {
            send(sent.get(step.pick() % sent.size()));
        }
    }

    private void seal(GateStep step) {
        if (!sent.isEmpty()) {
            StageDispatch dispatch = sent.get(step.pick() % sent.size());
            sealAndCheck(dispatch.attempt(), step.value() % 7 == 0 ? new Incarnation(1, 1) : dispatch.agent());
        }
    }

    private void sealAndCheck(AttemptId attempt, Incarnation addressed) {
        SealOutcome outcome = fixture.seal(attempt, addressed);
        switch (outcome.state()) {
            case NOT_RUN -> {
                assertThat(executed).as("attempts that ran").doesNotContain(attempt);
                mustNotRun.add(attempt);
            }
            case RUNNING -> assertThat(target.openCalls()).contains(attempt);
            case DONE -> {
                assertThat(outcome.result()).isNotNull();
                assertThat(executed).contains(attempt);
                assertThat(addressed).isEqualTo(agent);
            }
            default -> {
                if (!executed.contains(attempt)) {
                    mustNotRun.add(attempt);
                }
            }
        }
    }

    private void cancel(GateStep step) {
        if (!sent.isEmpty()) {
            fixture.gate().cancel(sent.get(step.pick() % sent.size()).attempt());
        }
    }

    private void complete(GateStep step) {
        if (!target.openCalls().isEmpty()) {
            target.complete(
                    target.openCalls().get(step.pick() % target.openCalls().size()), "r".repeat(step.value()));
        }
    }

    private void fail(GateStep step) {
        if (target.openCalls().isEmpty()) {
            return;
        }
        AttemptId attempt =
                target.openCalls().get(step.pick() % target.openCalls().size());
        ErrorKind kind = FAILURES[step.value() % FAILURES.length];
        Ran ran = Ran.values()[step.pick() % Ran.values().length];
        if (ran == Ran.NO) {
            executed.remove(attempt);
            mustNotRun.add(attempt);
        }
        target.fail(attempt, kind, ran);
        if (kind == ErrorKind.TARGET_UNREACHABLE) {
            assertThat(fixture.gate().load().limit())
                    .as("limit after a connect failure")
                    .isLessThanOrEqualTo(cold);
        }
    }

    private void report(GateStep step) {
        Temperature temperature = Temperature.values()[step.value() % Temperature.values().length];
        long measuredNanos = fixture.scheduler().nanoTime();
        reportedCold = temperature == Temperature.COLD;
        reportedNanos = measuredNanos;
        fixture.report("boot" + boot, temperature, 0);
        if (reportedCold) {
            assertThat(fixture.gate().load().limit())
                    .as("limit after a cold report")
                    .isLessThanOrEqualTo(cold);
        }
    }

    /** Simulates a restart of the target; a delayed report of the previous boot must not raise the limit. */
    private void reboot(GateStep step) {
        fixture.report("boot" + boot, Temperature.WARM, 0);
        boot++;
        reportedCold = true;
        reportedNanos = fixture.scheduler().nanoTime();
        fixture.report("boot" + boot, Temperature.COLD, 0);
        fixture.report("boot" + (boot - 1), Temperature.WARM, step.value());
        assertThat(fixture.gate().load().limit()).as("limit after a restart").isLessThanOrEqualTo(cold);
    }

    private void zone(boolean in) {
        zoneIn = in;
        fixture.put(new Zone("z1", "r1", in ? ZoneState.IN : ZoneState.OUT));
    }

    private void target(GateStep step) {
        serving = step.value() % 3 != 0;
        cold = 1 + step.pick() % 2;
        int max = cold + step.value() % 6;
        fixture.put(
                GateFixture.target(serving ? TargetState.SERVING : TargetState.LEAVING, cold, max, step.pick() % 5));
    }

    private void leave(GateStep step) {
        if (step.value() % 5 == 0) {
            leaving = true;
            fixture.gate().startLeaving();
        }
    }

    /** Simulates a restart of the agent: its open calls and listeners are lost, but past executions still count. */
    private void restart(GateStep step) {
        if (step.value() % 3 != 0) {
            return;
        }
        fixture.gate().startLeaving();
        target.discardOpenCalls();
        listeners.clear();
        List<StageDispatch> copies = List.copyOf(sent);
        sent.clear();
        agent = new Incarnation(agent.startMillis() + 1, step.pick());
        leaving = false;
        reportedCold = false;
        fixture.restart(agent, ledger);
        copies.stream().skip(Math.max(0, copies.size() - 3)).forEach(this::send);
    }

    private AttemptId newId(GateStep step) {
        int entry = step.pick() % ENTRIES.length;
        counters[entry] += 1 + step.value() % 2;
        return new AttemptId(ENTRIES[entry], counters[entry]);
    }
}
