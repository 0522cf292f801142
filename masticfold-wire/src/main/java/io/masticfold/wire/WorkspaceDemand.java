package io.masticfold.wire;

/**
 * Reports the demand of a workspace at one entry.
 *
 * @param workspace name of the workspace
 * @param requestsPerSecond rate of arrival
 * @param limitPerSecond rate of the contract
 */
public record WorkspaceDemand(String workspace, double requestsPerSecond, double limitPerSecond) {}
