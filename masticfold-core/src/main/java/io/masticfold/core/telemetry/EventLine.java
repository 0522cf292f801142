package io.masticfold.core.telemetry;

import org.slf4j.event.Level;

/**
 * Describes the lines that a log event writes.
 *
 * @param number number of the event, unique over all modules
 * @param level level of the lines
 * @param template SLF4J message template
 */
public record EventLine(int number, Level level, String template) {

    /** Checks the values. */
    public EventLine {
        if (number < 1) {
            throw new IllegalArgumentException("number must be positive: " + number);
        }
        if (template.isBlank()) {
            throw new IllegalArgumentException("template of event " + number + " must not be blank");
        }
    }
}
