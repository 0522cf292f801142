package io.masticfold.wire;

/**
 * Grants a share of a workspace's rate to one entry.
 *
 * @param workspace name of the workspace
 * @param requestsPerSecond rate the entry may admit
 */
public record WorkspaceShare(String workspace, double requestsPerSecond) {}
