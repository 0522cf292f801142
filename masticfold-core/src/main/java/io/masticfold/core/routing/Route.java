package io.masticfold.core.routing;

import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.model.Target;

/** A target chosen for an attempt, which counts as in flight there until it is released. */
public interface Route {

    /** Returns the chosen target. */
    Target target();

    /** Returns the link to its agent. */
    AgentLink link();

    /**
     * Ends the attempt: decrements the in-flight count and reports the outcome to load balancing and outlier ejection.
     * Calls after the first have no effect.
     *
     * @param outcome the outcome of the attempt
     * @param load load that the agent reported with the outcome
     * @param elapsedNanos time from dispatch to outcome, in nanoseconds
     */
    void release(StageOutcome outcome, TargetLoad load, long elapsedNanos);
}
