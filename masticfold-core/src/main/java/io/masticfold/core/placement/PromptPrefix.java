package io.masticfold.core.placement;

/**
 * Identifies the prefix of a prompt that other requests may share.
 *
 * @param hash hash of the shared parts, in order
 * @param prefixTokens length of the prefix, in tokens
 * @param totalTokens length of the whole prompt, in tokens
 */
public record PromptPrefix(long hash, int prefixTokens, int totalTokens) {

    /** Used when nothing is known about the prompt. */
    public static final PromptPrefix UNKNOWN = new PromptPrefix(0, 0, 0);
}
