package io.masticfold.core.stage;

/**
 * Holds what a gateway knows of a stage server when it chooses where pieces are made.
 *
 * @param id id of the server
 * @param zone availability zone of the server
 * @param backlogMillis time until a piece that is added now would start, in milliseconds
 * @param roomBytes bytes of results that the server can still take
 * @param failing whether pieces failed there a moment ago
 */
public record StageServerView(String id, String zone, double backlogMillis, long roomBytes, boolean failing) {}
