package io.masticfold.entry;

import io.masticfold.core.telemetry.EventDefinition;
import io.masticfold.core.telemetry.LogEvent;
import org.slf4j.event.Level;

/** Numbered log events of the entry, 5000 to 5999. */
public enum EntryEvent implements LogEvent {
    STARTED(5000, Level.INFO, "entry {} started: listening for callers on {}, admin interface on {}"),
    CONFIGURATION_APPLIED(5001, Level.INFO, "entry {} applied configuration revision {}"),
    DRAINING(5002, Level.INFO, "shutdown requested: reporting not ready, still accepting requests for {} ms"),
    REFUSING(5003, Level.INFO, "refusing new requests, {} requests in progress"),
    STOPPED(5004, Level.INFO, "entry {} stopped with {} requests in progress"),
    SERVER_CLOSE_FAILED(5005, Level.WARN, "an HTTP server did not close in time: {}"),
    START_FAILED(5006, Level.ERROR, "entry {} failed to start: {}"),
    REQUEST_FAILED(5007, Level.INFO, "request {} of workspace {} to pipeline {} failed: {} (ran {}, effects {})");

    private final EventDefinition definition;

    EntryEvent(int number, Level level, String template) {
        definition = new EventDefinition(number, level, template);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
