package io.masticfold.gateway.protocol;

import java.util.List;

/**
 * Holds what the headers of a caller's request say to the system.
 *
 * @param attemptId id of this attempt; empty if missing
 * @param deadlineMillis time the caller waits, in milliseconds; negative if missing or malformed
 * @param key secret of the caller; empty if missing
 * @param promptTokens tokens of the prompt; 0 if unknown
 * @param outputTokens most tokens of the output; 0 if unknown
 * @param promptParts parts of the prompt in order; the last belongs to this request or its session
 * @param stagePieces number of pieces of each stage; empty if the request has none
 * @param stageKey key of the pieces that read no other results; empty if missing
 */
public record CallerMetadata(
        String attemptId,
        long deadlineMillis,
        String key,
        int promptTokens,
        int outputTokens,
        List<PromptPart> promptParts,
        List<Integer> stagePieces,
        String stageKey) {

    /** Copies the lists. */
    public CallerMetadata {
        promptParts = List.copyOf(promptParts);
        stagePieces = List.copyOf(stagePieces);
    }
}
