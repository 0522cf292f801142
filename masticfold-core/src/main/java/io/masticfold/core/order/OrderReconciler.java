package io.masticfold.core.order;

import io.masticfold.core.order.AwaitChange.Reason;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides the next step that brings an engine from its observed state to its desired state. The decision is
 * level-triggered: it depends only on the current state, so the next decision compensates for a lost order, response or
 * report.
 */
public final class OrderReconciler {

    /**
     * Time that a newly started agent waits before its first order. Its configuration may come from a peer that is not
     * up to date, while the previous agent may already have ordered a newer version. Configuration changes reach all
     * processes within 3 s. Engines that ignore fencing numbers are protected only by this delay.
     */
    static final Duration SETTLE = Duration.ofSeconds(3);

    private OrderReconciler() {}

    /**
     * Decides the next step.
     *
     * @param state state of the agent's orders to the engine
     * @param goal desired state, empty if the configuration specifies none
     * @param view observed state from the latest report of the engine
     * @param nowNanos current time, in nanoseconds of the time source
     */
    public static OrderStep next(OrderState state, Optional<OrderGoal> goal, EngineView view, long nowNanos) {
        if (state.inFlight()) {
            return inFlight(state, goal, nowNanos);
        }
        if (goal.isEmpty()) {
            return new AwaitChange(Reason.NO_GOAL);
        }
        Reason reason = wait(state, goal.get(), view, nowNanos);
        return reason == null ? order(state, goal.get(), view, nowNanos) : new AwaitChange(reason);
    }

    private static OrderStep inFlight(OrderState state, Optional<OrderGoal> goal, long nowNanos) {
        EngineOrder last = state.last();
        boolean renew = last != null && last.loads() && state.permit().renewalDue(nowNanos);
        return renew && goal.isPresent()
                ? new AskPermit(goal.get().weightBytes())
                : new AwaitChange(Reason.ORDER_IN_FLIGHT);
    }

    @Nullable
    private static Reason wait(OrderState state, OrderGoal goal, EngineView view, long nowNanos) {
        if (goal.version() < Math.max(state.highest(), view.fencing())) {
            return Reason.OUTDATED_GOAL;
        }
        if (state.last() != null && view.takenNanos() - state.endedNanos() < 0) {
            return Reason.OUTDATED_VIEW;
        }
        if (inSync(state, goal, view)) {
            return Reason.IN_SYNC;
        }
        if (nowNanos - state.startNanos() < SETTLE.toNanos()) {
            return Reason.SETTLING;
        }
        return backingOff(state, goal, nowNanos) ? Reason.BACKOFF : null;
    }

    /**
     * Returns whether the engine serves the desired model and the last order, if any, was for the same model. An order
     * whose response was lost can still take effect, so a change back to an earlier model is ordered again, with its
     * newer fencing number, even if the engine still serves that model.
     */
    private static boolean inSync(OrderState state, OrderGoal goal, EngineView view) {
        EngineOrder last = state.last();
        return goal.desired().equals(view.served())
                && (last == null || last.desired().equals(goal.desired()));
    }

    private static boolean backingOff(OrderState state, OrderGoal goal, long nowNanos) {
        EngineOrder last = state.last();
        boolean sameGoal = last != null && last.fencing() == goal.version();
        return sameGoal && state.failures() > 0 && state.notBeforeNanos() - nowNanos > 0;
    }

    private static OrderStep order(OrderState state, OrderGoal goal, EngineView view, long nowNanos) {
        boolean loads = !view.holdsWeights(goal.desired());
        if (!loads || state.permit().allows(nowNanos)) {
            return new SendOrder(new EngineOrder(goal.version(), goal.desired(), loads));
        }
        return state.permit().mayAsk(nowNanos) ? new AskPermit(goal.weightBytes()) : new AwaitChange(Reason.NO_PERMIT);
    }
}
