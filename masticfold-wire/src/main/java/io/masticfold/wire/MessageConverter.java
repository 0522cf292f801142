package io.masticfold.wire;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.attempt.StageFailed;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.attempt.Temperature;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.wire.proto.Attempt;
import io.masticfold.wire.proto.Cancel;
import io.masticfold.wire.proto.Chunk;
import io.masticfold.wire.proto.Dispatch;
import io.masticfold.wire.proto.End;
import io.masticfold.wire.proto.Failed;
import io.masticfold.wire.proto.Frame;
import io.masticfold.wire.proto.IncarnationId;
import io.masticfold.wire.proto.Load;
import io.masticfold.wire.proto.Refused;
import io.masticfold.wire.proto.Seal;
import io.masticfold.wire.proto.SealReply;
import io.masticfold.wire.proto.WindowUpdate;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Converts between core types and protobuf messages. */
final class MessageConverter {

    private static final Temperature[] TEMPERATURES = Temperature.values();
    private static final int SEAL_UNKNOWN = 0;
    private static final int SEAL_NOT_RUN = 1;
    private static final int SEAL_RUNNING = 2;
    private static final int SEAL_DONE = 3;

    private MessageConverter() {}

    static IncarnationId incarnation(Incarnation incarnation) {
        return IncarnationId.newBuilder()
                .setStartMillis(incarnation.startMillis())
                .setRandom(incarnation.random())
                .build();
    }

    static Incarnation incarnation(IncarnationId id) {
        return new Incarnation(id.getStartMillis(), id.getRandom());
    }

    static Attempt attempt(AttemptId attempt) {
        return Attempt.newBuilder()
                .setEntry(incarnation(attempt.entry()))
                .setCounter(attempt.counter())
                .build();
    }

    /**
     * Converts an attempt id.
     *
     * @throws IllegalArgumentException if the counter is out of range
     */
    static AttemptId attempt(Attempt attempt) {
        return new AttemptId(incarnation(attempt.getEntry()), attempt.getCounter());
    }

    static ByteString bytes(Payload payload) {
        return UnsafeByteOperations.unsafeWrap(payload.unsafeBytes());
    }

    static Payload payload(ByteString bytes) {
        return Payload.wrap(bytes.toByteArray());
    }

    static Load load(TargetLoad load) {
        return Load.newBuilder()
                .setTemperature(load.temperature().ordinal())
                .setInFlight(load.inFlight())
                .setQueued(load.queued())
                .setLimit(load.limit())
                .setServiceMicros(load.serviceMicros())
                .build();
    }

    /**
     * Converts a load report. A temperature unknown to this version is treated as cold.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    static TargetLoad load(Load load) {
        int temperature = load.getTemperature();
        boolean known = temperature >= 0 && temperature < TEMPERATURES.length;
        return new TargetLoad(
                known ? TEMPERATURES[temperature] : Temperature.COLD,
                load.getInFlight(),
                load.getQueued(),
                load.getLimit(),
                load.getServiceMicros());
    }

    static Frame dispatch(StageDispatch dispatch, long configRevision) {
        return Frame.newBuilder()
                .setDispatch(Dispatch.newBuilder()
                        .setAttempt(attempt(dispatch.attempt()))
                        .setRequestId(dispatch.requestId())
                        .setWorkspace(dispatch.workspace())
                        .setPipeline(dispatch.pipeline())
                        .setStage(dispatch.stage())
                        .setTarget(dispatch.target())
                        .setAgent(incarnation(dispatch.agent()))
                        .setIdempotent(dispatch.idempotent())
                        .setPriority(dispatch.priority())
                        .setWorth(dispatch.worth())
                        .setBudgetMicros(Math.max(0, dispatch.budgetMicros()))
                        .setMinimumMicros(Math.max(0, dispatch.minimumMicros()))
                        .setStreaming(dispatch.streaming())
                        .setResumeOffset(dispatch.resumeOffset())
                        .setPrefixHash(dispatch.prefixHash())
                        .setBody(bytes(dispatch.body()))
                        .setConfigRevision(configRevision))
                .build();
    }

    /**
     * Converts a dispatch.
     *
     * @param waited time the message may have waited unread, subtracted from its budget
     * @throws IllegalArgumentException if a value is out of range
     */
    static StageDispatch dispatch(Dispatch dispatch, Duration waited) {
        return new StageDispatch(
                attempt(dispatch.getAttempt()),
                dispatch.getRequestId(),
                dispatch.getWorkspace(),
                dispatch.getPipeline(),
                dispatch.getStage(),
                dispatch.getTarget(),
                incarnation(dispatch.getAgent()),
                dispatch.getIdempotent(),
                dispatch.getPriority(),
                dispatch.getWorth(),
                Math.max(0, dispatch.getBudgetMicros() - TimeUnit.NANOSECONDS.toMicros(waited.toNanos())),
                dispatch.getMinimumMicros(),
                dispatch.getStreaming(),
                dispatch.getResumeOffset(),
                dispatch.getPrefixHash(),
                payload(dispatch.getBody()));
    }

    static Frame chunk(AttemptId attempt, long offset, ByteString bytes) {
        return Frame.newBuilder()
                .setChunk(Chunk.newBuilder()
                        .setAttempt(attempt(attempt))
                        .setOffset(offset)
                        .setBytes(bytes))
                .build();
    }

    static Frame cancel(AttemptId attempt) {
        return Frame.newBuilder()
                .setCancel(Cancel.newBuilder().setAttempt(attempt(attempt)))
                .build();
    }

    static Frame windowUpdate(AttemptId attempt, int bytes) {
        return Frame.newBuilder()
                .setWindowUpdate(
                        WindowUpdate.newBuilder().setAttempt(attempt(attempt)).setBytes(bytes))
                .build();
    }

    static Frame seal(long sealId, AttemptId attempt, Incarnation agent) {
        return Frame.newBuilder()
                .setSeal(Seal.newBuilder()
                        .setSealId(sealId)
                        .setAttempt(attempt(attempt))
                        .setAgent(incarnation(agent)))
                .build();
    }

    static Frame sealReply(long sealId, SealOutcome outcome) {
        SealReply.Builder reply = SealReply.newBuilder().setSealId(sealId);
        switch (outcome.state()) {
            case NOT_RUN -> reply.setOutcome(SEAL_NOT_RUN);
            case RUNNING -> reply.setOutcome(SEAL_RUNNING);
            case DONE -> reply.setOutcome(SEAL_DONE);
            case UNKNOWN -> reply.setOutcome(SEAL_UNKNOWN);
            default -> throw new IllegalArgumentException("unknown seal state " + outcome.state());
        }
        Payload result = outcome.result();
        if (result != null) {
            reply.setResult(bytes(result));
        }
        return Frame.newBuilder().setSealReply(reply).build();
    }

    static SealOutcome sealOutcome(SealReply reply) {
        return switch (reply.getOutcome()) {
            case SEAL_NOT_RUN -> SealOutcome.of(SealOutcome.State.NOT_RUN);
            case SEAL_RUNNING -> SealOutcome.of(SealOutcome.State.RUNNING);
            case SEAL_DONE -> SealOutcome.done(payload(reply.getResult()));
            default -> SealOutcome.of(SealOutcome.State.UNKNOWN);
        };
    }

    /** Converts an outcome. The result of a streaming attempt is left out, because its chunks were sent before. */
    static Frame outcome(AttemptId attempt, boolean streaming, StageOutcome outcome, TargetLoad load) {
        if (outcome instanceof StageCompleted completed) {
            End.Builder end = End.newBuilder()
                    .setAttempt(attempt(attempt))
                    .setTotalBytes(completed.result().size())
                    .setServiceMicros(Math.max(0, completed.serviceMicros()))
                    .setLoad(load(load));
            if (!streaming) {
                end.setResult(bytes(completed.result()));
            }
            return Frame.newBuilder().setEnd(end).build();
        }
        if (outcome instanceof StageRefused refused && refused.kind() != ErrorKind.DUPLICATE_ATTEMPT) {
            return Frame.newBuilder()
                    .setRefused(Refused.newBuilder()
                            .setAttempt(attempt(attempt))
                            .setKind(refused.kind().code())
                            .setRetryAfterMillis(
                                    Math.max(0, refused.retryAfter().toMillis()))
                            .setLoad(load(load)))
                    .build();
        }
        StageFailed failed = asFailed(outcome);
        return Frame.newBuilder()
                .setFailed(Failed.newBuilder()
                        .setAttempt(attempt(attempt))
                        .setKind(failed.kind().code())
                        .setRan(failed.ran() == Ran.YES ? 1 : 0)
                        .setLoad(load(load)))
                .build();
    }

    /**
     * Converts the refusal of a duplicate dispatch into a failure with unknown execution: the duplicate did not run,
     * but the first dispatch of the same attempt may have.
     */
    private static StageFailed asFailed(StageOutcome outcome) {
        return outcome instanceof StageFailed failed
                ? failed
                : new StageFailed(ErrorKind.DUPLICATE_ATTEMPT, Ran.UNKNOWN);
    }

    static StageRefused refused(Refused refused) {
        return new StageRefused(
                ErrorKind.ofCode(refused.getKind()), Duration.ofMillis(Math.max(0, refused.getRetryAfterMillis())));
    }

    static StageFailed failed(Failed failed) {
        return new StageFailed(ErrorKind.ofCode(failed.getKind()), failed.getRan() == 1 ? Ran.YES : Ran.UNKNOWN);
    }
}
