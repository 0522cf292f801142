package io.masticfold.wire;

import io.masticfold.core.attempt.Payload;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Reassembles a streaming result from its chunks, which may overlap and arrive in any order. */
final class ResultAssembler {

    private final long startOffset;
    private final TreeMap<Long, Payload> chunks = new TreeMap<>();
    private long receivedBytes;

    /**
     * Creates an assembler.
     *
     * @param startOffset offset of the first byte of the result to return
     */
    ResultAssembler(long startOffset) {
        this.startOffset = startOffset;
    }

    /**
     * Adds a chunk.
     *
     * @return whether the chunks received so far are within the size limit of a streaming result
     */
    boolean add(long offset, Payload chunk) {
        Payload previous = chunks.get(offset);
        if (previous == null || previous.size() < chunk.size()) {
            chunks.put(offset, chunk);
            receivedBytes += chunk.size() - (previous == null ? 0 : previous.size());
        }
        return receivedBytes <= WireLimits.MAX_STREAM_RESULT_BYTES;
    }

    /**
     * Returns the result from the start offset on.
     *
     * @param totalBytes length of the whole result, counted from offset 0
     * @return the result, empty if a part is missing or a chunk extends beyond the total length
     */
    Optional<Payload> assemble(long totalBytes) {
        if (totalBytes < startOffset || totalBytes - startOffset > WireLimits.MAX_STREAM_RESULT_BYTES) {
            return Optional.empty();
        }
        byte[] result = new byte[(int) (totalBytes - startOffset)];
        long filledTo = startOffset;
        for (Map.Entry<Long, Payload> chunk : chunks.entrySet()) {
            long end = chunk.getKey() + chunk.getValue().size();
            if (chunk.getKey() > filledTo || end > totalBytes) {
                return Optional.empty();
            }
            if (end > filledTo) {
                byte[] from = chunk.getValue().unsafeBytes();
                int skipped = (int) (filledTo - chunk.getKey());
                System.arraycopy(from, skipped, result, (int) (filledTo - startOffset), from.length - skipped);
                filledTo = end;
            }
        }
        return filledTo == totalBytes ? Optional.of(Payload.wrap(result)) : Optional.empty();
    }
}
