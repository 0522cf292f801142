package io.masticfold.core.order;

import java.time.Duration;

/**
 * The agent's permit to load weights from the rate-limited weight store.
 *
 * @param state state of the permit
 * @param validUntilNanos end of the state: time until which a granted permit may be used, or from which a permit that
 *     was requested or denied may be requested again
 * @param renewFromNanos time from which a granted permit is to be renewed while the load is in progress
 */
public record LoadPermit(State state, long validUntilNanos, long renewFromNanos) {

    /** No permit: never requested, or released. */
    public static final LoadPermit NONE = new LoadPermit(State.NONE, 0, 0);

    /** One fifth of the term is not used, as a margin, because the granting side starts counting it earlier. */
    private static final int MARGIN_DIVISOR = 5;

    private static final int RENEW_DIVISOR = 2;

    /** States of a permit. */
    public enum State {
        NONE,
        REQUESTED,
        GRANTED,
        DENIED
    }

    /**
     * Creates a permit that has been requested and not answered yet.
     *
     * @param nowNanos time of the request
     * @param timeout time after which an unanswered request may be repeated
     */
    public static LoadPermit requested(long nowNanos, Duration timeout) {
        return new LoadPermit(State.REQUESTED, nowNanos + timeout.toNanos(), 0);
    }

    /**
     * Creates a granted permit.
     *
     * @param requestedNanos time of the request, at which the term starts
     * @param term validity period of the permit
     */
    public static LoadPermit granted(long requestedNanos, Duration term) {
        long termNanos = term.toNanos();
        return new LoadPermit(
                State.GRANTED,
                requestedNanos + termNanos - termNanos / MARGIN_DIVISOR,
                requestedNanos + termNanos / RENEW_DIVISOR);
    }

    /** Creates a denied permit that may be requested again after a pause. */
    public static LoadPermit denied(long nowNanos, Duration pause) {
        return new LoadPermit(State.DENIED, nowNanos + pause.toNanos(), 0);
    }

    /** Returns whether the permit allows a load to start now. */
    boolean allows(long nowNanos) {
        return state == State.GRANTED && validUntilNanos - nowNanos > 0;
    }

    /** Returns whether a permit may be requested now. */
    boolean mayRequest(long nowNanos) {
        return state == State.NONE || validUntilNanos - nowNanos <= 0;
    }

    /** Returns whether the permit for a load in progress should be renewed now. */
    boolean renewalDue(long nowNanos) {
        return state == State.GRANTED ? renewFromNanos - nowNanos <= 0 : mayRequest(nowNanos);
    }
}
