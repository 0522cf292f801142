package io.masticfold.testkit.targets;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Records an order to a target.
 *
 * @param fencingNumber value of {@code X-Fencing-Number}
 * @param accepted whether it was carried out
 * @param receivedMillis wall-clock time of arrival, in milliseconds
 * @param body the order
 */
public record Order(long fencingNumber, boolean accepted, long receivedMillis, JsonNode body) {}
