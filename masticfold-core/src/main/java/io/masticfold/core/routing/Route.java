package io.masticfold.core.routing;

import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.model.Target;

/** Represents a chosen target and the in-flight count held there. */
public interface Route {

    /** Returns the chosen target. */
    Target target();

    /** Returns the link to its agent. */
    AgentLink link();

    /**
     * Ends the attempt: gives the in-flight count back and feeds the outcome to load balancing and ejection.
     *
     * @param outcome the outcome of the attempt
     * @param load load the agent reported with it
     * @param elapsedNanos time from dispatch to outcome, in nanoseconds
     */
    void release(StageOutcome outcome, TargetLoad load, long elapsedNanos);
}
