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
final class Judge {

    private static final long MARGIN_NANOS = Duration.ofMillis(50).toNanos();
    private static final long FREEZE_NANOS = Duration.ofMillis(5100).toNanos();
    private static final long OUT_NANOS = Duration.ofSeconds(2).toNanos();
    /** Failures that a payment may still end with after all faults have ended. */
    private static final Set<ErrorKind> TRUTHFUL = EnumSet.of(ErrorKind.OUTCOME_UNKNOWN, ErrorKind.TARGET_FAILED);

    private final MatrixWorld world;

    Judge(MatrixWorld world) {
        this.world = world;
    }

    void judge() {
        world.replies.forEach(this::oneAnswerInTime);
        world.replies.forEach(this::truthful);
        world.replies.forEach(this::whole);
        atMostOnce();
        healed();
        leaving();
        graceful();
        operatorsTold();
    }

    private void oneAnswerInTime(RecordedReply reply) {
        if (reply.answers != 1) {
            world.violated(Invariant.WHOLE_ANSWER, reply.answers + " answers for " + reply);
        }
        boolean frozen = world.cell.faults().contains(Fault.ENTRY_FROZEN);
        long margin = MARGIN_NANOS + (frozen ? FREEZE_NANOS : 0);
        if (reply.answeredNanos > reply.request.deadline().expiryNanos() + margin) {
            world.violated(Invariant.WHOLE_ANSWER, "answer after the deadline for " + reply);
        }
    }

    private void truthful(RecordedReply reply) {
        RequestFailure failure = reply.failure;
        if (failure == null) {
            return;
        }
        boolean ran = world.executions.stream().anyMatch(execution -> of(execution, reply.request));
        boolean effects = world.executions.stream()
                .anyMatch(execution ->
                        of(execution, reply.request) && !execution.dispatch().idempotent());
        if ((failure.ran() == Ran.NO && ran) || (failure.effects() == Ran.NO && effects)) {
            world.violated(Invariant.NOT_RUN_TRUE, reply + " but a target executed it");
        }
    }

    private static boolean of(Execution execution, PipelineRequest request) {
        return execution.dispatch().requestId().equals(request.requestId());
    }

    private void whole(RecordedReply reply) {
        PipelineResult result = reply.result;
        if (result == null) {
            return;
        }
        Payload expected = reply.request.body();
        for (int i = 0; i < reply.request.pipeline().stages().size(); i++) {
            expected = MatrixTarget.result(expected);
        }
        if (!result.output().equals(expected)) {
            boolean other = result.output().size() >= expected.size() || !reply.request.streaming();
            world.violated(
                    other ? Invariant.RESULT_ONCE : Invariant.WHOLE_ANSWER,
                    reply + " received " + result.output().utf8());
        } else if (reply.request.streaming() && !reply.streamed().equals(expected.utf8())) {
            world.violated(Invariant.WHOLE_ANSWER, reply + " streamed " + reply.streamed());
        }
    }

    private void atMostOnce() {
        Map<String, Long> payments = world.executions.stream()
                .filter(execution -> !execution.dispatch().idempotent())
                .collect(Collectors.groupingBy(
                        execution -> execution.dispatch().body().utf8(), Collectors.counting()));
        payments.forEach((body, count) -> {
            if (count > 1) {
                world.violated(Invariant.AT_MOST_ONCE, body + " was executed " + count + " times");
            }
        });
        if (payments.keySet().stream().anyMatch(body -> body.contains("another body"))
                && payments.keySet().stream().anyMatch(body -> body.contains("under test"))) {
            world.violated(Invariant.AT_MOST_ONCE, "two bodies were executed under one key");
        }
    }

    private void healed() {
        for (RecordedReply reply : world.healed) {
            RequestFailure failure = reply.failure;
            boolean reused = reply.request.body().utf8().contains("another body");
            boolean fresh = reply.request.body().utf8().contains("fresh");
            if (failure == null || (reused && failure.kind() == ErrorKind.IDEMPOTENCY_KEY_REUSED)) {
                continue;
            }
            boolean pays = !world.cell.scenario().idempotent();
            if (fresh || !pays || !TRUTHFUL.contains(failure.kind())) {
                world.violated(Invariant.RESULT_ONCE, "failed after the end of all faults: " + reply);
            }
        }
    }

    private void leaving() {
        for (Operator operator : world.operators) {
            if (!operator.accepted()) {
                continue;
            }
            world.store.history.stream()
                    .filter(object -> object.changeId().equals(operator.changeId))
                    .forEach(object -> {
                        if (object.spec() instanceof Zone zone && zone.state() == ZoneState.OUT) {
                            noStart(Invariant.ZONE_OUT, zone.name().substring(1), operator);
                        } else if (object.spec() instanceof Target target && target.state() == TargetState.LEAVING) {
                            noStart(Invariant.TARGET_LEAVING, target.name(), operator);
                        }
                    });
        }
    }

    private void noStart(Invariant invariant, String target, Operator operator) {
        for (Execution execution : world.executions) {
            if (execution.target().equals(target) && execution.atNanos() > operator.acceptedNanos + OUT_NANOS) {
                long late = Duration.ofNanos(execution.atNanos() - operator.acceptedNanos)
                        .toMillis();
                world.violated(
                        invariant,
                        execution.dispatch().requestId() + " started at " + target + " " + late + " ms after "
                                + operator.changeId);
            }
        }
    }

    /**
     * Checks that a graceful shutdown interrupts no call that has started. If only one agent shuts down, no request may
     * fail at all.
     */
    private void graceful() {
        if (!world.cell.faults().stream().allMatch(fault -> fault == Fault.AGENT_SHUTDOWN)) {
            return;
        }
        boolean single = world.cell.faults().size() == 1;
        for (RecordedReply reply : world.replies) {
            RequestFailure failure = reply.failure;
            boolean expected = failure == null
                    || failure.kind() == ErrorKind.IN_PROGRESS
                    || failure.kind() == ErrorKind.IDEMPOTENCY_KEY_REUSED;
            if (!expected && (single || failure.ran() == Ran.UNKNOWN || failure.effects() != Ran.NO)) {
                world.violated(Invariant.GRACEFUL_SHUTDOWN, "interrupted by a graceful shutdown: " + reply);
            }
        }
    }

    private void operatorsTold() {
        world.operators.stream()
                .filter(operator -> !operator.told())
                .forEach(operator ->
                        world.violated(Invariant.CONFIG_FORWARD, operator.changeId + " received no answer"));
        Map<Object, Long> accepted = world.operators.stream()
                .filter(operator -> operator.accepted() && operator.changeId.startsWith("race"))
                .collect(Collectors.groupingBy(Operator::key, Collectors.counting()));
        long races = world.cell.faults().stream()
                .filter(fault -> fault == Fault.OPERATORS_RACING)
                .count();
        if (accepted.values().stream().anyMatch(count -> count > races)) {
            world.violated(Invariant.CONFIG_FORWARD, "both racing changes were reported as accepted");
        }
    }
}
