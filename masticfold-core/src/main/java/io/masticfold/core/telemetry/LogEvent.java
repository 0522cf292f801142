package io.masticfold.core.telemetry;

import org.slf4j.Logger;
import org.slf4j.event.Level;

/** Represents a numbered log event. Each module implements it by an enum; {@code docs/events.md} lists all events. */
public interface LogEvent {

    /** Returns the definition of the event. */
    EventDefinition definition();

    /** Returns the number, unique across all modules. */
    default int number() {
        return definition().number();
    }

    /** Returns the log level. */
    default Level level() {
        return definition().level();
    }

    /** Returns the SLF4J message template. */
    default String template() {
        return definition().template();
    }

    /**
     * Logs the event, prefixed with its number.
     *
     * @param logger logger of the calling class
     * @param arguments arguments of the message template
     */
    default void log(Logger logger, Object... arguments) {
        logger.makeLoggingEventBuilder(level()).log("MF" + number() + " " + template(), arguments);
    }
}
