package io.masticfold.gateway.protocol;

/**
 * Holds the load that a target states with an answer.
 *
 * @param running requests it runs
 * @param waiting requests in its queue
 * @param slots requests it can run at the same time
 */
public record TargetLoadReport(int running, int waiting, int slots) {}
