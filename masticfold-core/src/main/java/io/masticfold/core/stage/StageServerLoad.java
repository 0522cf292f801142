package io.masticfold.core.stage;

/**
 * Holds the state of a stage server as its owner knows it.
 *
 * @param id id of the server
 * @param zone availability zone of the server
 * @param availableMillis time until the server can take a call, in milliseconds; 0 if it can now
 * @param slowdown ratio of the measured to the expected duration of its calls
 * @param freeBytes free result storage of the server, in bytes
 */
public record StageServerLoad(String id, String zone, double availableMillis, double slowdown, long freeBytes) {}
