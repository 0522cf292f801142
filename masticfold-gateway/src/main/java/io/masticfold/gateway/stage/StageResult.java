package io.masticfold.gateway.stage;

/**
 * Names a result that a stage server keeps.
 *
 * @param handle handle that reads it
 * @param server server that keeps it
 * @param bytes approximate size, in bytes
 */
public record StageResult(String handle, StageServer server, long bytes) {}
