package io.masticfold.wire;

import io.masticfold.core.attempt.Payload;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Reassembles a streaming result from its chunks, which may overlap and arrive in any order. */
final class ResultAssembler {

    private final long start;
    private final TreeMap<Long, Payload> chunks = new TreeMap<>();
    private long bytes;

    /**
     * Creates an assembler.
     *
     * @param start offset of the first byte of the result to return
     */
    ResultAssembler(long start) {
        this.start = start;
    }

    /**
     * Adds a chunk.
     *
     * @return whether the chunks received so far are within the size limit of a streaming result
     */
    boolean add(long offset, Payload chunk) {
        Payload known = chunks.get(offset);
        if (known == null || known.size() < chunk.size()) {
            chunks.put(offset, chunk);
            bytes += chunk.size() - (known == null ? 0 : known.size());
        }
        return bytes <= WireLimits.MAX_STREAM_RESULT_BYTES;
    }

    /**
     * Returns the result from the start offset on.
     *
     * @param total length of the whole result, counted from offset 0
     * @return the result, empty if a part is missing or a chunk extends beyond the total length
     */
    Optional<Payload> result(long total) {
        if (total < start || total - start > WireLimits.MAX_STREAM_RESULT_BYTES) {
            return Optional.empty();
        }
        byte[] result = new byte[(int) (total - start)];
        long filled = start;
        for (Map.Entry<Long, Payload> chunk : chunks.entrySet()) {
            long end = chunk.getKey() + chunk.getValue().size();
            if (chunk.getKey() > filled || end > total) {
                return Optional.empty();
            }
            if (end > filled) {
                byte[] from = chunk.getValue().unsafeBytes();
                int skipped = (int) (filled - chunk.getKey());
                System.arraycopy(from, skipped, result, (int) (filled - start), from.length - skipped);
                filled = end;
            }
        }
        return filled == total ? Optional.of(Payload.wrap(result)) : Optional.empty();
    }
}
