package io.masticfold.gateway.stage;

/**
 * Identifies a result that is stored at a stage server.
 *
 * @param handle handle with which the result is read
 * @param pool pool of the server
 * @param server id of the server
 * @param zone availability zone of the server
 */
record StageResult(String handle, String pool, String server, String zone) {}
