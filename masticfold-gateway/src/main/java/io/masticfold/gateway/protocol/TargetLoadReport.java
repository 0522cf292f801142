package io.masticfold.gateway.protocol;

/**
 * Holds the load that a target reports with a response.
 *
 * @param running number of requests it is running
 * @param waiting number of requests in its queue
 * @param slots number of requests it can run concurrently
 */
public record TargetLoadReport(int running, int waiting, int slots) {}
