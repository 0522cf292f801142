package io.masticfold.gateway.http;

import java.time.Duration;

/**
 * Describes a connection that was closed because its caller does not read and the memory is needed.
 *
 * @param address address of the caller
 * @param workspace workspace of its last request
 * @param unsentBytes output that was dropped
 * @param stalled time since the caller last took output
 */
public record ShedReader(String address, String workspace, long unsentBytes, Duration stalled) {}
