package io.masticfold.core.forward;

import io.masticfold.core.error.Ran;
import io.masticfold.core.retry.RetryBudget;
import java.time.Duration;

/**
 * Decides whether a request is sent to another target. A request that may have run is repeated only if its route allows
 * it. A send that the target refused does not count as an attempt of the route. Every resend is charged to the retry
 * budget, unless nothing left the process in the last send.
 */
public final class ResendPolicy {

    /** Largest number of sends of one request, including refused ones, but not those that left no byte behind. */
    static final int MAX_SENDS = 4;

    /** Shortest time in which a target can answer; a resend with less time left would be useless. */
    static final Duration MIN_REMAINING_TIME = Duration.ofMillis(30);

    private ResendPolicy() {}

    /**
     * Returns whether a target may be tried. After some targets could not be reached, only those are tried that have
     * not failed recently, so that an outage of a whole pool does not make each request try every target.
     *
     * @param unsentSends number of targets of this request that could not be reached
     * @param recentlyFailed whether the target failed recently
     */
    public static boolean permitTarget(int unsentSends, boolean recentlyFailed) {
        return !recentlyFailed || unsentSends < MAX_SENDS;
    }

    /**
     * Returns whether a request may be sent again, and charges the retry budget if it may.
     *
     * @param route route of the request
     * @param outcome outcome of the last send
     * @param sends number of sends so far in which a byte may have left the process
     * @param runs number of sends so far that ran or may have run
     * @param remaining time left for the answer
     * @param budget retry budget to charge
     */
    public static boolean permitResend(
            ForwardRoute route, SendOutcome outcome, int sends, int runs, Duration remaining, RetryBudget budget) {
        if (outcome == SendOutcome.ANSWERED || sends >= MAX_SENDS || remaining.compareTo(MIN_REMAINING_TIME) < 0) {
            return false;
        }
        if (outcome.ran() != Ran.NO && !route.kind().repeatable()) {
            return false;
        }
        if (runs >= route.maxAttempts()) {
            return false;
        }
        return outcome == SendOutcome.NOT_SENT || budget.tryWithdraw();
    }
}
