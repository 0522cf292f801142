package io.masticfold.gateway.protocol;

import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Holds what one gateway has recorded in the store about streams that their callers may take up.
 *
 * @param versionsByPool software versions that may have begun streams, by pool
 * @param streams streams that began while a pool had several versions
 */
public record StreamRecord(Map<String, Set<String>> versionsByPool, List<Stream> streams) {

    /** Copies the collections. */
    public StreamRecord {
        versionsByPool = Map.copyOf(versionsByPool);
        streams = List.copyOf(streams);
    }

    /**
     * Names the version that began a stream.
     *
     * @param attempt id of the caller's attempt that brought the first event
     */
    public record Stream(String attempt, String pool, String version) {}
}
