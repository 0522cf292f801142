package io.masticfold.core.placement;

import java.time.Duration;
import java.util.Map;
import java.util.Set;

/**
 * What a placement needs to know of a request.
 *
 * @param prompt shared prefix of its prompt; {@link PromptPrefix#UNKNOWN} if its target caches nothing
 * @param cachedAt incarnations of the targets that hold the prefix as far as this gateway knows, beside the one that
 *     ranks first for it
 * @param resultBytes size of the stage results that the request reads, in bytes, by availability zone
 * @param failureCost time that the caller loses if the send fails
 */
public record PlacementRequest(
        PromptPrefix prompt, Set<String> cachedAt, Map<String, Long> resultBytes, Duration failureCost) {

    /** Copies the collections and validates the time. */
    public PlacementRequest {
        cachedAt = Set.copyOf(cachedAt);
        resultBytes = Map.copyOf(resultBytes);
        if (failureCost.isNegative()) {
            throw new IllegalArgumentException("failureCost must not be negative: " + failureCost);
        }
    }

    /** Returns the size of the stage results that the request reads from an availability zone, in bytes. */
    long bytesIn(String zone) {
        return resultBytes.getOrDefault(zone, 0L);
    }
}
