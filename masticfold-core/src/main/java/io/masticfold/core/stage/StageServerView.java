package io.masticfold.core.stage;

/**
 * Holds the state of a stage server as a gateway sees it when it chooses a server for pieces.
 *
 * @param id id of the server
 * @param zone availability zone of the server
 * @param backlogMillis time until a newly queued piece would start, in milliseconds
 * @param freeBytes free result storage of the server, in bytes
 * @param recentlyFailed whether pieces failed there recently
 */
public record StageServerView(String id, String zone, double backlogMillis, long freeBytes, boolean recentlyFailed) {}
