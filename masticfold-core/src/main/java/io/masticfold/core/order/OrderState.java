package io.masticfold.core.order;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * Holds what an agent remembers of its orders to one engine. Immutable; each event gives the next state.
 *
 * @param startNanos when the agent started, in nanoseconds on the axis of the time source, as all times here
 * @param last last order sent, null if none
 * @param inFlight whether the answer to the last order is awaited
 * @param highest highest fencing number sent or known to the engine
 * @param failures failures in a row
 * @param notBeforeNanos earliest time of the next try after a failure
 * @param endedNanos when the last order ended
 * @param permit permit of the weight store
 */
public record OrderState(
        long startNanos,
        @Nullable EngineOrder last,
        boolean inFlight,
        long highest,
        int failures,
        long notBeforeNanos,
        long endedNanos,
        LoadPermit permit) {

    private static final Duration FIRST_BACKOFF = Duration.ofSeconds(1);
    private static final int MAX_DOUBLINGS = 6;

    /** Creates the state of an agent that has just started. */
    public static OrderState start(long nowNanos) {
        return new OrderState(nowNanos, null, false, 0, 0, nowNanos, nowNanos, LoadPermit.NONE);
    }

    /**
     * Notes that an order is about to be sent.
     *
     * @throws IllegalStateException if an order is in flight or the fencing number is older than one sent before
     */
    public OrderState sent(EngineOrder order) {
        if (inFlight) {
            throw new IllegalStateException("an order is in flight: " + last);
        }
        if (order.fencing() < highest) {
            throw new IllegalStateException("order " + order.fencing() + " is older than " + highest);
        }
        return new OrderState(startNanos, order, true, order.fencing(), failures, notBeforeNanos, endedNanos, permit);
    }

    /** Notes that the engine carried out the order. */
    public OrderState succeeded(long nowNanos) {
        return new OrderState(startNanos, last, false, highest, 0, nowNanos, nowNanos, LoadPermit.NONE);
    }

    /** Notes that the order failed, or that its answer did not come in time. */
    public OrderState failed(long nowNanos) {
        long backoff = FIRST_BACKOFF.toNanos() << Math.min(failures, MAX_DOUBLINGS);
        return new OrderState(
                startNanos, last, false, highest, failures + 1, nowNanos + backoff, nowNanos, LoadPermit.NONE);
    }

    /**
     * Notes that the engine refused the order because it has seen a newer one.
     *
     * @param seen the fencing number the engine has seen
     */
    public OrderState fenced(long seen, long nowNanos) {
        return new OrderState(
                startNanos, last, false, Math.max(highest, seen), failures, notBeforeNanos, nowNanos, LoadPermit.NONE);
    }

    /** Replaces the permit. */
    public OrderState withPermit(LoadPermit next) {
        return new OrderState(startNanos, last, inFlight, highest, failures, notBeforeNanos, endedNanos, next);
    }
}
