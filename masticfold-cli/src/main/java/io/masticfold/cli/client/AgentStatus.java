package io.masticfold.cli.client;

/**
 * Holds what an entry reports of the agent beside a target.
 *
 * @param target name of the target
 * @param zone availability zone
 * @param usable whether the entry's link to the agent is usable
 * @param configRevision revision of the agent's configuration
 * @param configDigest digest of the agent's configuration
 * @param temperature temperature of the target
 * @param inFlight attempts in progress
 * @param limit current concurrency limit
 */
public record AgentStatus(
        String target,
        String zone,
        boolean usable,
        long configRevision,
        String configDigest,
        String temperature,
        long inFlight,
        long limit) {}
