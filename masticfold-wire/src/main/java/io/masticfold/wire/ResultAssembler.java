package io.masticfold.wire;

import io.masticfold.core.attempt.Payload;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/** Puts the chunks of a streaming result together. Chunks may overlap and come in any order. */
final class ResultAssembler {

    private final long start;
    private final TreeMap<Long, Payload> chunks = new TreeMap<>();
    private long bytes;

    /**
     * Creates an assembler.
     *
     * @param start offset of the first byte wanted
     */
    ResultAssembler(long start) {
        this.start = start;
    }

    /**
     * Adds a chunk.
     *
     * @return whether the chunks still fit into the limit of a result
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
     * Returns the result from the start offset to its end.
     *
     * @param total length of the whole result, from offset 0
     * @return the result, empty if a part of it is missing or goes beyond the end
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
