package io.masticfold.gateway.protocol;

import java.util.List;

/**
 * Holds the metadata decoded from the headers of a caller's request.
 *
 * @param attemptId id of this attempt of the caller; empty if missing
 * @param deadlineMillis time the caller waits for the response, in milliseconds; negative if missing or malformed
 * @param apiKey API key of the caller; empty if missing
 * @param promptTokens number of tokens in the prompt; 0 if unknown
 * @param outputTokens maximum number of output tokens; 0 if unknown
 * @param promptParts parts of the prompt in order; only the last is specific to this request or its session
 * @param stagePieces number of pieces of each stage; empty if the request states none or malformed ones
 * @param lastEventId id of the last event that the caller has of a stream that it takes up; empty for a new stream
 * @param resumedAttempt id of the attempt that brought the first event of that stream; empty if not named
 * @param stageKey key of the pieces that read no results of other pieces; empty if missing
 */
public record CallerMetadata(
        String attemptId,
        long deadlineMillis,
        String apiKey,
        int promptTokens,
        int outputTokens,
        List<PromptPart> promptParts,
        List<Integer> stagePieces,
        String lastEventId,
        String resumedAttempt,
        String stageKey) {

    /** Copies the lists. */
    public CallerMetadata {
        promptParts = List.copyOf(promptParts);
        stagePieces = List.copyOf(stagePieces);
    }

    /** Returns the ids of the parts that other prompts may share: all but the last. */
    public List<String> sharedPartIds() {
        return promptParts.stream()
                .limit(Math.max(0, promptParts.size() - 1))
                .map(PromptPart::id)
                .toList();
    }
}
