package io.masticfold.core.link;

import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.TargetLoad;
import org.jspecify.annotations.Nullable;

/**
 * Represents the entry's link to the agent of one target.
 *
 * <p>A dispatch on a link that is lost before the message was written ends as {@code StageRefused(TARGET_UNREACHABLE)};
 * one that is lost after it was written ends as {@code StageFailed(LINK_LOST, UNKNOWN)}. A seal on a lost link answers
 * {@code UNKNOWN}.
 */
public interface AgentLink extends StageHandler {

    /** Returns the name of the target the agent serves. */
    String target();

    /** Returns whether the link is authenticated and has heard from the agent recently. */
    boolean usable();

    /** Returns the incarnation of the agent at the other end, null until the first handshake. */
    @Nullable
    Incarnation agentIncarnation();

    /** Returns the last load the agent reported, {@link TargetLoad#UNKNOWN} before the first report. */
    TargetLoad load();
}
