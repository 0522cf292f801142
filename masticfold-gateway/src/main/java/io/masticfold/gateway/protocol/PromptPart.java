package io.masticfold.gateway.protocol;

/**
 * Describes one part of a prompt.
 *
 * @param id identity of the content; equal parts of different requests have equal ids
 * @param tokens length in tokens
 */
public record PromptPart(String id, int tokens) {}
