package io.masticfold.core.routing;

import io.masticfold.core.link.AgentLink;
import io.masticfold.core.model.Target;

/**
 * Holds a target that can take an attempt, with its link and statistics.
 *
 * @param target the target
 * @param link usable link to the agent of the target
 * @param stats statistics that this entry keeps about the target
 */
record Candidate(Target target, AgentLink link, TargetStats stats) {}
