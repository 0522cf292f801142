package io.masticfold.core.telemetry;

import org.slf4j.event.Level;

/**
 * Defines the number, the level and the message of a log event.
 *
 * @param number number of the event, unique across all modules
 * @param level log level of the event
 * @param template SLF4J message template
 */
public record EventDefinition(int number, Level level, String template) {

    /** Validates the number and the template. */
    public EventDefinition {
        if (number < 1) {
            throw new IllegalArgumentException("number must be positive: " + number);
        }
        if (template.isBlank()) {
            throw new IllegalArgumentException("template of event " + number + " must not be blank");
        }
    }
}
