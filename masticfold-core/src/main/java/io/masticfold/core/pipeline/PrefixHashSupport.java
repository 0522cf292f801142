package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.Payload;
import java.util.zip.CRC32C;

/** Hashes the leading bytes of stage inputs, so that equal prompt prefixes can be routed to the same engine cache. */
final class PrefixHashSupport {

    private PrefixHashSupport() {}

    /**
     * Hashes a prefix.
     *
     * @param input input of a stage
     * @param prefixBytes number of leading bytes to hash
     * @return the hash, 0 for an empty prefix
     */
    static long hash(Payload input, int prefixBytes) {
        int length = Math.min(prefixBytes, input.size());
        if (length == 0) {
            return 0;
        }
        CRC32C checksum = new CRC32C();
        checksum.update(input.unsafeBytes(), 0, length);
        return checksum.getValue();
    }
}
