package io.masticfold.gateway.request;

import io.masticfold.core.error.Ran;
import io.masticfold.core.forward.ForwardRoute;
import io.masticfold.core.forward.ResendPolicy;
import io.masticfold.core.forward.SendOutcome;
import io.masticfold.core.retry.RetryBudget;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/** Records the sends of one request to targets and what they say about its execution. Used by one thread. */
final class SendHistory {

    private final Set<String> failedTargets = new HashSet<>();
    private int sends;
    private int unsentSends;
    private int possibleExecutions;
    private Ran ran = Ran.NO;

    /** Returns the number of sends, the current one included. */
    int sends() {
        return sends;
    }

    /** Returns whether the request has been executed, as far as known. */
    Ran ran() {
        return ran;
    }

    /** Returns the ids of the targets at which a send has failed. */
    Set<String> failedTargets() {
        return failedTargets;
    }

    void recordSend() {
        sends++;
    }

    /** Records that the current send was cancelled, so that its outcome is unknown. */
    void recordCancelled() {
        ran = ran.or(Ran.UNKNOWN);
    }

    void recordOutcome(SendOutcome outcome) {
        ran = ran.or(outcome.ran());
        if (outcome.ran() != Ran.NO) {
            possibleExecutions++;
        }
        if (outcome == SendOutcome.NOT_SENT) {
            unsentSends++;
        }
    }

    void recordFailedTarget(String id) {
        failedTargets.add(id);
    }

    /** Returns whether the target may be tried next. */
    boolean permitTarget(TargetTracker target, long nowNanos) {
        return ResendPolicy.permitTarget(unsentSends, target.suspect(nowNanos));
    }

    /** Returns whether the request may be sent again after the last outcome, and charges the budget if it may. */
    boolean permitResend(ForwardRoute route, SendOutcome outcome, Duration remaining, RetryBudget budget) {
        return ResendPolicy.permitResend(route, outcome, sends - unsentSends, possibleExecutions, remaining, budget);
    }
}
