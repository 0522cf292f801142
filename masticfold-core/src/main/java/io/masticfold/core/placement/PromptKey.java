package io.masticfold.core.placement;

/**
 * Identifies the shared beginning of a prompt.
 *
 * @param hash hash over the shared parts in order
 * @param sharedTokens length of the shared parts, in tokens
 * @param totalTokens length of the whole prompt, in tokens
 */
public record PromptKey(long hash, int sharedTokens, int totalTokens) {

    /** Prompt about which nothing is known. */
    public static final PromptKey UNKNOWN = new PromptKey(0, 0, 0);
}
