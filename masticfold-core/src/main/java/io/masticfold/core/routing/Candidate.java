package io.masticfold.core.routing;

import io.masticfold.core.link.AgentLink;
import io.masticfold.core.model.Target;

/**
 * Pairs a target that can take an attempt with what is known of it.
 *
 * @param target the target
 * @param link usable link to its agent
 * @param stats what this entry knows of it
 */
record Candidate(Target target, AgentLink link, TargetStats stats) {}
