package io.masticfold.gateway.protocol;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Holds an object of the store.
 *
 * @param name name within its kind
 * @param revision revision of its last change
 * @param content what its writer stored
 * @param deleted whether it has been removed
 */
public record StoreObject(String name, long revision, JsonNode content, boolean deleted) {}
