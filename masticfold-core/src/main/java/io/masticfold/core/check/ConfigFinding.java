package io.masticfold.core.check;

/**
 * Something in a configuration that has no effect or contradicts something else.
 *
 * @param section part that it concerns
 * @param index position among the parts of this kind, from 0; 0 for parts that exist once
 * @param property property that it concerns
 * @param message what it means for requests; contains no API key
 */
public record ConfigFinding(ConfigSection section, int index, ConfigProperty property, String message) {}
