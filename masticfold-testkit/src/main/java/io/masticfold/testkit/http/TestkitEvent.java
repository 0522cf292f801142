package io.masticfold.testkit.http;

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

    private final int number;
    private final Level level;
    private final String template;

    TestkitEvent(int number, Level level, String template) {
        this.number = number;
        this.level = level;
        this.template = template;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Level level() {
        return level;
    }

    @Override
    public String template() {
        return template;
    }
}
