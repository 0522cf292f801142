package io.masticfold.core.stream;

import io.masticfold.core.attempt.Payload;

/** Takes the parts of a stream in order and without gaps. */
@FunctionalInterface
public interface ChunkSink {

    /**
     * Takes the next part.
     *
     * @param offset offset of the part within the stream, in bytes
     * @param bytes the part
     */
    void chunk(long offset, Payload bytes);
}
