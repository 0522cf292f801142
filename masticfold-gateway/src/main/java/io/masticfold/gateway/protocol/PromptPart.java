package io.masticfold.gateway.protocol;

/**
 * Describes one part of a prompt.
 *
 * @param id id of the content; equal content has the same id in all requests
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
