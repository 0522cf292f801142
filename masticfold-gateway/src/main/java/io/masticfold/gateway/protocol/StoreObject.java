package io.masticfold.gateway.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds an object of the store.
 *
 * @param name name, unique within its kind
 * @param revision revision of the store at its last change
 * @param content stored content
 * @param deleted whether the object has been deleted
 */
public record StoreObject(String name, long revision, JsonNode content, boolean deleted) {}
