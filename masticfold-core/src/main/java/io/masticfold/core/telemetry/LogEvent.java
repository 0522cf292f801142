package io.masticfold.core.telemetry;

import org.slf4j.Logger;
import org.slf4j.event.Level;

/** Represents a numbered log event; implemented by one enum per module and listed in {@code docs/events.md}. */
public interface LogEvent {

    /** Returns the number, the level and the template. */
    EventLine line();

    /** Returns the number, unique over all modules. */
    default int number() {
        return line().number();
    }

    /** Returns the level. */
    default Level level() {
        return line().level();
    }

    /** Returns the SLF4J message template. */
    default String template() {
        return line().template();
    }

    /**
     * Writes the event, prefixed with its number.
     *
     * @param logger logger of the reporting class
     * @param arguments values for the placeholders of the template
     */
    default void log(Logger logger, Object... arguments) {
        logger.makeLoggingEventBuilder(level()).log("MF" + number() + " " + template(), arguments);
    }
}
