package io.masticfold.core.limit;

/**
 * Tells one entry its part of a workspace's rate.
 *
 * @param workspace the workspace
 * @param perSecond requests per second the entry may take
 */
public record WorkspaceShare(String workspace, double perSecond) {}
