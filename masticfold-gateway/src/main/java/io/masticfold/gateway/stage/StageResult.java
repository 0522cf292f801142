package io.masticfold.gateway.stage;

/**
 * Names a result that a stage server keeps.
 *
 * @param handle handle that reads it
 * @param pool pool of the server
 * @param server id of the server
 * @param zone availability zone of the server
 */
record StageResult(String handle, String pool, String server, String zone) {}
