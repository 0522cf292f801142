package io.masticfold.core.order;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/**
 * State of an agent's orders to one engine. Immutable; each event produces a new state. All times are in nanoseconds of
 * the time source.
 *
 * @param startNanos start time of the agent
 * @param lastOrder last order sent, or null if none
 * @param inFlight whether the response to the last order is pending
 * @param highestFencingNumber highest fencing number sent by the agent or reported by the engine in a rejection
 * @param consecutiveFailures number of consecutive failures
 * @param notBeforeNanos earliest time of the next attempt after a failure
 * @param endedNanos time at which the last order ended
 * @param permit permit to load weights from the weight store
 */
public record OrderState(
        long startNanos,
        @Nullable EngineOrder lastOrder,
        boolean inFlight,
        long highestFencingNumber,
        int consecutiveFailures,
        long notBeforeNanos,
        long endedNanos,
        LoadPermit permit) {

    private static final Duration FIRST_BACKOFF = Duration.ofSeconds(1);
    private static final int MAX_DOUBLINGS = 6;

    /** Creates the initial state of an agent that has just started. */
    public static OrderState start(long nowNanos) {
        return new OrderState(nowNanos, null, false, 0, 0, nowNanos, nowNanos, LoadPermit.NONE);
    }

    /**
     * Records that an order is about to be sent.
     *
     * @throws IllegalStateException if an order is in flight or the fencing number is lower than the highest known one
     */
    public OrderState sent(EngineOrder order) {
        if (inFlight) {
            throw new IllegalStateException("another order is in flight: " + lastOrder);
        }
        if (order.fencingNumber() < highestFencingNumber) {
            throw new IllegalStateException(
                    "order " + order.fencingNumber() + " is older than " + highestFencingNumber);
        }
        return new OrderState(
                startNanos,
                order,
                true,
                order.fencingNumber(),
                consecutiveFailures,
                notBeforeNanos,
                endedNanos,
                permit);
    }

    /** Records that the engine carried out the order. */
    public OrderState succeeded(long nowNanos) {
        return new OrderState(
                startNanos, lastOrder, false, highestFencingNumber, 0, nowNanos, nowNanos, LoadPermit.NONE);
    }

    /** Records that the order failed or that its response timed out. */
    public OrderState failed(long nowNanos) {
        long backoff = FIRST_BACKOFF.toNanos() << Math.min(consecutiveFailures, MAX_DOUBLINGS);
        return new OrderState(
                startNanos,
                lastOrder,
                false,
                highestFencingNumber,
                consecutiveFailures + 1,
                nowNanos + backoff,
                nowNanos,
                LoadPermit.NONE);
    }

    /**
     * Records that the engine rejected the order because it has seen a higher fencing number.
     *
     * @param seen highest fencing number that the engine has seen
     */
    public OrderState fenced(long seen, long nowNanos) {
        return new OrderState(
                startNanos,
                lastOrder,
                false,
                Math.max(highestFencingNumber, seen),
                consecutiveFailures,
                notBeforeNanos,
                nowNanos,
                LoadPermit.NONE);
    }

    /** Returns a copy with another permit. */
    public OrderState withPermit(LoadPermit next) {
        return new OrderState(
                startNanos,
                lastOrder,
                inFlight,
                highestFencingNumber,
                consecutiveFailures,
                notBeforeNanos,
                endedNanos,
                next);
    }
}
