package io.masticfold.core.matrix;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.invariant.Invariant;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import io.masticfold.core.pipeline.PipelineRequest;
import io.masticfold.core.pipeline.PipelineResult;
import io.masticfold.core.pipeline.RequestFailure;
import java.time.Duration;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks the invariants after a cell has run, based on the recorded executions and responses. */
final class InvariantChecker {

    private static final long DEADLINE_MARGIN_NANOS = Duration.ofMillis(50).toNanos();
    private static final long MAX_FREEZE_NANOS = Duration.ofMillis(5100).toNanos();
    private static final long MAX_START_DELAY_NANOS = Duration.ofSeconds(2).toNanos();
    /** Failures with which a payment may still end after all faults have ended, unless its key is new. */
    private static final Set<ErrorKind> PERMITTED_PAYMENT_FAILURES =
            EnumSet.of(ErrorKind.OUTCOME_UNKNOWN, ErrorKind.TARGET_FAILED);

    private final Simulation simulation;

    InvariantChecker(Simulation simulation) {
        this.simulation = simulation;
    }

    void check() {
        simulation.responses.forEach(this::checkSingleAnswerInTime);
        simulation.responses.forEach(this::checkExecutionStatement);
        simulation.responses.forEach(this::checkResult);
        checkAtMostOnce();
        checkRecovery();
        checkStartsAfterRemoval();
        checkGracefulShutdown();
        checkOperatorAnswers();
    }

    private void checkSingleAnswerInTime(RecordedResponse response) {
        if (response.answerCount != 1) {
            simulation.reportViolation(Invariant.WHOLE_ANSWER, response.answerCount + " answers for " + response);
        }
        boolean entryFrozen = simulation.cell.faults().contains(Fault.ENTRY_FROZEN);
        long margin = DEADLINE_MARGIN_NANOS + (entryFrozen ? MAX_FREEZE_NANOS : 0);
        if (response.answeredNanos > response.request.deadline().expiryNanos() + margin) {
            simulation.reportViolation(Invariant.WHOLE_ANSWER, "answer after the deadline for " + response);
        }
    }

    private void checkExecutionStatement(RecordedResponse response) {
        RequestFailure failure = response.failure;
        if (failure == null) {
            return;
        }
        boolean executed = simulation.executions.stream().anyMatch(execution -> belongsTo(execution, response.request));
        boolean hadEffects = simulation.executions.stream()
                .anyMatch(execution -> belongsTo(execution, response.request)
                        && !execution.dispatch().idempotent());
        if ((failure.ran() == Ran.NO && executed) || (failure.effects() == Ran.NO && hadEffects)) {
            simulation.reportViolation(Invariant.NOT_RUN_TRUE, response + " but a target executed it");
        }
    }

    private static boolean belongsTo(Execution execution, PipelineRequest request) {
        return execution.dispatch().requestId().equals(request.requestId());
    }

    private void checkResult(RecordedResponse response) {
        PipelineResult result = response.result;
        if (result == null) {
            return;
        }
        Payload expected = response.request.body();
        for (int i = 0; i < response.request.pipeline().stages().size(); i++) {
            expected = SimulatedTarget.resultOf(expected);
        }
        if (!result.output().equals(expected)) {
            boolean wrongResult = result.output().size() >= expected.size() || !response.request.streaming();
            simulation.reportViolation(
                    wrongResult ? Invariant.RESULT_ONCE : Invariant.WHOLE_ANSWER,
                    response + " received " + result.output().utf8());
        } else if (response.request.streaming() && !response.streamedText().equals(expected.utf8())) {
            simulation.reportViolation(Invariant.WHOLE_ANSWER, response + " streamed " + response.streamedText());
        }
    }

    private void checkAtMostOnce() {
        Map<String, Long> payments = simulation.executions.stream()
                .filter(execution -> !execution.dispatch().idempotent())
                .collect(Collectors.groupingBy(
                        execution -> execution.dispatch().body().utf8(), Collectors.counting()));
        payments.forEach((body, count) -> {
            if (count > 1) {
                simulation.reportViolation(Invariant.AT_MOST_ONCE, body + " was executed " + count + " times");
            }
        });
        if (payments.keySet().stream().anyMatch(body -> body.contains("another body"))
                && payments.keySet().stream().anyMatch(body -> body.contains("under test"))) {
            simulation.reportViolation(Invariant.AT_MOST_ONCE, "two bodies were executed under one key");
        }
    }

    private void checkRecovery() {
        for (RecordedResponse response : simulation.responsesAfterFaults) {
            RequestFailure failure = response.failure;
            boolean reused = response.request.body().utf8().contains("another body");
            boolean freshKey = response.request.body().utf8().contains("fresh");
            if (failure == null || (reused && failure.kind() == ErrorKind.IDEMPOTENCY_KEY_REUSED)) {
                continue;
            }
            boolean payment = !simulation.cell.scenario().idempotent();
            if (freshKey || !payment || !PERMITTED_PAYMENT_FAILURES.contains(failure.kind())) {
                simulation.reportViolation(Invariant.RESULT_ONCE, "failed after the end of all faults: " + response);
            }
        }
    }

    private void checkStartsAfterRemoval() {
        for (OperatorChange change : simulation.changes) {
            if (!change.accepted()) {
                continue;
            }
            simulation.store.history.stream()
                    .filter(object -> object.changeId().equals(change.changeId))
                    .forEach(object -> {
                        if (object.spec() instanceof Zone zone && zone.state() == ZoneState.OUT) {
                            checkNoStartAfter(Invariant.ZONE_OUT, zone.name().substring(1), change);
                        } else if (object.spec() instanceof Target target && target.state() == TargetState.LEAVING) {
                            checkNoStartAfter(Invariant.TARGET_LEAVING, target.name(), change);
                        }
                    });
        }
    }

    private void checkNoStartAfter(Invariant invariant, String target, OperatorChange change) {
        for (Execution execution : simulation.executions) {
            if (execution.target().equals(target)
                    && execution.atNanos() > change.acceptedNanos + MAX_START_DELAY_NANOS) {
                long late = Duration.ofNanos(execution.atNanos() - change.acceptedNanos)
                        .toMillis();
                simulation.reportViolation(
                        invariant,
                        execution.dispatch().requestId() + " started at " + target + " " + late + " ms after "
                                + change.changeId);
            }
        }
    }

    /**
     * Checks that graceful shutdowns, if the cell injects no other faults, interrupt no call that has started: no
     * request may fail with possible effects or without knowing whether it ran. If there is only one shutdown, no
     * request may fail at all. Refusals because of the idempotency key are permitted in both cases.
     */
    private void checkGracefulShutdown() {
        if (!simulation.cell.faults().stream().allMatch(fault -> fault == Fault.AGENT_SHUTDOWN)) {
            return;
        }
        boolean singleShutdown = simulation.cell.faults().size() == 1;
        for (RecordedResponse response : simulation.responses) {
            RequestFailure failure = response.failure;
            boolean expected = failure == null
                    || failure.kind() == ErrorKind.IN_PROGRESS
                    || failure.kind() == ErrorKind.IDEMPOTENCY_KEY_REUSED;
            if (!expected && (singleShutdown || failure.ran() == Ran.UNKNOWN || failure.effects() != Ran.NO)) {
                simulation.reportViolation(
                        Invariant.GRACEFUL_SHUTDOWN, "interrupted by a graceful shutdown: " + response);
            }
        }
    }

    private void checkOperatorAnswers() {
        simulation.changes.stream()
                .filter(change -> !change.isAnswered())
                .forEach(change ->
                        simulation.reportViolation(Invariant.CONFIG_FORWARD, change.changeId + " received no answer"));
        Map<Object, Long> accepted = simulation.changes.stream()
                .filter(change -> change.accepted() && change.changeId.startsWith("race"))
                .collect(Collectors.groupingBy(OperatorChange::key, Collectors.counting()));
        long races = simulation.cell.faults().stream()
                .filter(fault -> fault == Fault.OPERATORS_RACING)
                .count();
        if (accepted.values().stream().anyMatch(count -> count > races)) {
            simulation.reportViolation(Invariant.CONFIG_FORWARD, "both racing changes were reported as accepted");
        }
    }
}
