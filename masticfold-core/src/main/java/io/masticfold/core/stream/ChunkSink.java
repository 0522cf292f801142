package io.masticfold.core.stream;

import io.masticfold.core.attempt.Payload;

/** Receives the chunks of a stream, in order and without gaps. */
@FunctionalInterface
public interface ChunkSink {

    /**
     * Receives the next chunk.
     *
     * @param offset offset of the chunk within the stream, in bytes
     * @param bytes bytes of the chunk
     */
    void chunk(long offset, Payload bytes);
}
