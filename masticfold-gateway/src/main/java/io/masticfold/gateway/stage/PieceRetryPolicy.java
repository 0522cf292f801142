package io.masticfold.gateway.stage;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.protocol.PieceOutcome;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;

/** Decides whether a failed piece is dispatched again, within the retry budget of its pool. */
final class PieceRetryPolicy {

    /** Maximum number of dispatches of one piece that may have reached a server. */
    static final int MAX_SENDS = 4;

    /** Maximum number of moves of one piece between server queues; equals the maximum number of sends. */
    static final int MAX_MOVES = 4;

    private static final double NANOS_PER_MILLI = 1e6;

    private final GatewayContext context;
    private final Function<String, RetryBudget> newBudget;
    private final Map<String, RetryBudget> budgets = new HashMap<>();

    /**
     * Creates a policy.
     *
     * @param newBudget creates the retry budget of a pool
     */
    PieceRetryPolicy(GatewayContext context, Function<String, RetryBudget> newBudget) {
        this.context = context;
        this.newBudget = newBudget;
    }

    /** Records the first dispatch of pieces, which adds to the retry budget of the pool. */
    void recordSubmission(String pool, int pieces) {
        RetryBudget budget = budget(pool);
        for (int piece = 0; piece < pieces; piece++) {
            budget.deposit();
        }
    }

    /** Returns whether a piece that may have been in a call is sent again; spends retry budget. */
    boolean allowRetry(PieceDispatch dispatch) {
        boolean allowed = beforeDeadline(dispatch)
                && dispatch.sends < MAX_SENDS
                && budget(dispatch.pool).tryWithdraw();
        if (allowed) {
            context.telemetry().retried(ErrorKind.TARGET_FAILED);
        }
        return allowed;
    }

    /** Returns whether a piece that was in no call moves to another server; a move spends no retry budget. */
    boolean allowMove(PieceDispatch dispatch) {
        dispatch.sends--;
        dispatch.moves++;
        return beforeDeadline(dispatch) && dispatch.moves <= MAX_MOVES;
    }

    private boolean beforeDeadline(PieceDispatch dispatch) {
        return !dispatch.piece.deadline().expired(context.scheduler());
    }

    private RetryBudget budget(String pool) {
        return budgets.computeIfAbsent(pool, newBudget);
    }

    /** Logs the failure of a piece. */
    void logFailure(PieceDispatch dispatch, PieceOutcome.Kind kind) {
        context.log()
                .important(GatewayEvent.STAGE_PIECE_FAILED)
                .addKeyValue("request", dispatch.piece.attemptId())
                .addKeyValue("pool", dispatch.pool)
                .addKeyValue("target", dispatch.server)
                .addKeyValue("stage", dispatch.piece.stage())
                .addKeyValue("piece", dispatch.piece.piece())
                .addKeyValue("outcome", kind)
                .addKeyValue("send", dispatch.sends)
                .addKeyValue("ageMillis", (long)
                        ((context.scheduler().nanoTime() - dispatch.piece.startedNanos()) / NANOS_PER_MILLI))
                .log();
    }
}
