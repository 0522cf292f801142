package io.masticfold.testkit.http;

import io.masticfold.core.telemetry.EventDefinition;
import io.masticfold.core.telemetry.LogEvent;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;

/** Lists the log events of the stand-ins. */
public enum TestkitEvent implements LogEvent {
    STARTED(7001, Level.INFO, "stand-in {} listens on {}"),
    LISTEN_FAILED(7002, Level.ERROR, "stand-in cannot listen on {} again: {}");

    /** Logger of the stand-ins. */
    public static final Logger LOGGER = LoggerFactory.getLogger(TestkitEvent.class);

    private final EventDefinition definition;

    TestkitEvent(int number, Level level, String template) {
        definition = new EventDefinition(number, level, template);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
