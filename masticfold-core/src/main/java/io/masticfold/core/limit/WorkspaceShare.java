package io.masticfold.core.limit;

/**
 * Assigns one entry its share of the rate of a workspace.
 *
 * @param workspace the workspace
 * @param perSecond requests per second that the entry may admit
 */
public record WorkspaceShare(String workspace, double perSecond) {}
