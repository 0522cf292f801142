package io.masticfold.core.telemetry;

import org.slf4j.event.Level;

/** Lists the log events of the core module; numbers start at 1000. */
public enum CoreEvent implements LogEvent {
    /** A target appears to be cold again; its concurrency limit is reset to the limit for a cold start. */
    TARGET_TURNED_COLD(1001, Level.WARN, "target {} is cold again; its concurrency limit is {}"),
    /** The client of a target threw an exception instead of reporting a failure. */
    TARGET_CLIENT_FAILED(1002, Level.ERROR, "client of the target threw an exception for attempt {}"),
    /** A listener or a call threw an exception; the other actions of the gate are not affected. */
    GATE_ACTION_FAILED(
            1003, Level.ERROR, "an action of the gate threw an exception; the other actions are not affected");

    private final EventDefinition definition;

    CoreEvent(int number, Level level, String template) {
        definition = new EventDefinition(number, level, template);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
