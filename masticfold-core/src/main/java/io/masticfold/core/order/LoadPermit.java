package io.masticfold.core.order;

import java.time.Duration;

/**
 * Holds the agent's permit to load weights from the rate-limited weight store.
 *
 * @param state whether it is held
 * @param usableUntilNanos end of the use of a granted permit, or earliest time of the next request after a denial
 * @param renewFromNanos time from which a granted permit is renewed while the load goes on
 */
public record LoadPermit(State state, long usableUntilNanos, long renewFromNanos) {

    /** The permit that was never asked for or has been given back. */
    public static final LoadPermit NONE = new LoadPermit(State.NONE, 0, 0);

    /** Part of the term kept back, since the granting side counts from an earlier time than the agent. */
    private static final int MARGIN_DIVISOR = 5;

    private static final int RENEW_DIVISOR = 2;

    /** Lists the states of a permit. */
    public enum State {
        NONE,
        ASKED,
        GRANTED,
        DENIED
    }

    /**
     * Creates a request whose answer is awaited for a bounded time.
     *
     * @param nowNanos time of the request
     * @param patience time after which the request is repeated
     */
    public static LoadPermit asked(long nowNanos, Duration patience) {
        return new LoadPermit(State.ASKED, nowNanos + patience.toNanos(), 0);
    }

    /**
     * Creates a granted permit.
     *
     * @param askedNanos time of the request, from which the term is counted
     * @param term length of the permit
     */
    public static LoadPermit granted(long askedNanos, Duration term) {
        long termNanos = term.toNanos();
        return new LoadPermit(
                State.GRANTED,
                askedNanos + termNanos - termNanos / MARGIN_DIVISOR,
                askedNanos + termNanos / RENEW_DIVISOR);
    }

    /** Creates a denied permit that may be asked for again after a time. */
    public static LoadPermit denied(long nowNanos, Duration pause) {
        return new LoadPermit(State.DENIED, nowNanos + pause.toNanos(), 0);
    }

    /** Returns whether a load may start now. */
    boolean allows(long nowNanos) {
        return state == State.GRANTED && usableUntilNanos - nowNanos > 0;
    }

    /** Returns whether a request may be sent now. */
    boolean mayAsk(long nowNanos) {
        return state == State.NONE || usableUntilNanos - nowNanos <= 0;
    }

    /** Returns whether a permit in use should be renewed now. */
    boolean renewalDue(long nowNanos) {
        return state == State.GRANTED ? renewFromNanos - nowNanos <= 0 : mayAsk(nowNanos);
    }
}
