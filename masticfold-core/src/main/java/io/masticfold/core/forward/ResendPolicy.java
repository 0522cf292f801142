package io.masticfold.core.forward;

import io.masticfold.core.error.Ran;
import io.masticfold.core.retry.RetryBudget;
import java.time.Duration;

/**
 * Decides whether a request is sent once more. Work that may have run is repeated only where the route allows it; a
 * target that refused does not count against the attempts of the route. Every further send spends the retry budget,
 * except where nothing was sent before.
 */
public final class ResendPolicy {

    /** Most sends of one request, refused ones included. */
    static final int MAX_SENDS = 4;

    /** Shortest time in which a target can answer, so that a send in less is of no use. */
    static final Duration LEAST_TIME = Duration.ofMillis(30);

    private ResendPolicy() {}

    /**
     * Decides about a further send.
     *
     * @param route route of the request
     * @param outcome outcome of the last send
     * @param sends sends so far
     * @param runs sends so far that ran or may have run
     * @param left time left for the answer
     * @param budget spent if the request may be sent again
     */
    public static boolean sendAgain(
            ForwardRoute route, SendOutcome outcome, int sends, int runs, Duration left, RetryBudget budget) {
        if (outcome == SendOutcome.ANSWERED || sends >= MAX_SENDS || left.compareTo(LEAST_TIME) < 0) {
            return false;
        }
        if (outcome.ran() != Ran.NO && !route.kind().repeatable()) {
            return false;
        }
        if (runs >= route.maxAttempts()) {
            return false;
        }
        return outcome == SendOutcome.NOT_SENT || budget.spend();
    }
}
