package io.masticfold.core.link;

import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.TargetLoad;
import org.jspecify.annotations.Nullable;

/**
 * Represents a link from an entry to the agent of one target.
 *
 * <p>If the link is lost before the message of a dispatch is written, the attempt ends with
 * {@code StageRefused(TARGET_UNREACHABLE)}; if it is lost afterwards, the attempt ends with
 * {@code StageFailed(LINK_LOST, UNKNOWN)}. The reply to a seal on a lost link is {@code UNKNOWN}.
 */
public interface AgentLink extends StageHandler {

    /** Returns the name of the target the agent serves. */
    String target();

    /** Returns whether the link is authenticated and has received messages from the agent recently. */
    boolean usable();

    /** Returns the incarnation of the connected agent, null until the first handshake. */
    @Nullable
    Incarnation agentIncarnation();

    /** Returns the last load the agent reported, {@link TargetLoad#UNKNOWN} before the first report. */
    TargetLoad load();
}
