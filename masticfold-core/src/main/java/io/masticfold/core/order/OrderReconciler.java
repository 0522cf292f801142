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
    static final Duration STARTUP_DELAY = Duration.ofSeconds(3);

    private OrderReconciler() {}

    /**
     * Decides the next step.
     *
     * @param state state of the agent's orders to the engine
     * @param desired desired state, empty if the configuration specifies none
     * @param observed observed state from the latest report of the engine
     * @param nowNanos current time, in nanoseconds of the time source
     */
    public static OrderStep next(
            OrderState state, Optional<DesiredState> desired, ObservedState observed, long nowNanos) {
        if (state.inFlight()) {
            return nextInFlight(state, desired, nowNanos);
        }
        if (desired.isEmpty()) {
            return new AwaitChange(Reason.NO_DESIRED_STATE);
        }
        Reason reason = waitReason(state, desired.get(), observed, nowNanos);
        return reason == null ? sendOrRequestPermit(state, desired.get(), observed, nowNanos) : new AwaitChange(reason);
    }

    private static OrderStep nextInFlight(OrderState state, Optional<DesiredState> desired, long nowNanos) {
        EngineOrder last = state.lastOrder();
        boolean renew = last != null && last.loadsWeights() && state.permit().renewalDue(nowNanos);
        return renew && desired.isPresent()
                ? new RequestPermit(desired.get().weightBytes())
                : new AwaitChange(Reason.ORDER_IN_FLIGHT);
    }

    @Nullable
    private static Reason waitReason(OrderState state, DesiredState desired, ObservedState observed, long nowNanos) {
        if (desired.version() < Math.max(state.highestFencingNumber(), observed.fencingNumber())) {
            return Reason.OUTDATED_DESIRED_STATE;
        }
        if (state.lastOrder() != null && observed.measuredNanos() - state.endedNanos() < 0) {
            return Reason.OUTDATED_OBSERVED_STATE;
        }
        if (inSync(state, desired, observed)) {
            return Reason.IN_SYNC;
        }
        if (nowNanos - state.startNanos() < STARTUP_DELAY.toNanos()) {
            return Reason.STARTUP_DELAY;
        }
        return backingOff(state, desired, nowNanos) ? Reason.BACKOFF : null;
    }

    /**
     * Returns whether the engine serves the desired model and the last order, if any, was for the same model. An order
     * whose response was lost can still take effect, so a change back to an earlier model is ordered again, with its
     * newer fencing number, even if the engine still serves that model.
     */
    private static boolean inSync(OrderState state, DesiredState desired, ObservedState observed) {
        EngineOrder last = state.lastOrder();
        return desired.model().equals(observed.servedModel())
                && (last == null || last.model().equals(desired.model()));
    }

    private static boolean backingOff(OrderState state, DesiredState desired, long nowNanos) {
        EngineOrder last = state.lastOrder();
        boolean sameVersion = last != null && last.fencingNumber() == desired.version();
        return sameVersion && state.consecutiveFailures() > 0 && state.notBeforeNanos() - nowNanos > 0;
    }

    private static OrderStep sendOrRequestPermit(
            OrderState state, DesiredState desired, ObservedState observed, long nowNanos) {
        boolean loadsWeights = !observed.holdsWeights(desired.model());
        if (!loadsWeights || state.permit().allows(nowNanos)) {
            return new SendOrder(new EngineOrder(desired.version(), desired.model(), loadsWeights));
        }
        return state.permit().mayRequest(nowNanos)
                ? new RequestPermit(desired.weightBytes())
                : new AwaitChange(Reason.NO_PERMIT);
    }
}
