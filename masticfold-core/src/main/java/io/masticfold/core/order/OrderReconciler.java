package io.masticfold.core.order;

import io.masticfold.core.order.AwaitChange.Reason;
import java.time.Duration;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/**
 * Decides the next order to an engine from what is desired and what the engine reports. The decision is
 * level-triggered:
 * it depends on the present state only, so a lost order, answer or report is made up for by the next decision.
 */
public final class OrderReconciler {

    /**
     * Time a new agent waits before its first order. It may have got its configuration from a peer that lags, and the
     * agent before it may have ordered a newer version; a change is in force everywhere within 3 s. Engines that ignore
     * fencing numbers rely on this wait.
     */
    static final Duration SETTLE = Duration.ofSeconds(3);

    private OrderReconciler() {}

    /**
     * Decides the next step.
     *
     * @param state what the agent remembers
     * @param goal what the configuration wants, empty for nothing
     * @param view last report of the engine
     * @param nowNanos present time, in nanoseconds on the axis of the time source
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
     * Returns whether the engine serves the goal and nothing else was ordered last. An order whose answer was lost can
     * still take effect, so a goal that returns to the earlier state is ordered again under its newer number.
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
