package io.masticfold.gateway.log;

import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.event.Level;
import org.slf4j.spi.LoggingEventBuilder;
import org.slf4j.spi.NOPLoggingEventBuilder;

/**
 * Writes structured log events with a limit on the lines per second. Routine lines have a lower limit of their own, so
 * that failures are still logged under load. Used by one thread; the appender writes asynchronously and drops lines
 * rather than block.
 */
public final class RateLimitedLog {

    /** Maximum number of routine lines per second. */
    static final int ROUTINE_LINES_PER_SECOND = 150;

    /** Maximum number of lines per second about failures, refusals and state changes. */
    static final int IMPORTANT_LINES_PER_SECOND = 300;

    private static final Logger LOGGER = LoggerFactory.getLogger("io.masticfold.gateway");
    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();

    private final TimeSource time;
    private final Telemetry telemetry;
    private long secondStartNanos;
    private int routineLines;
    private int importantLines;

    /**
     * Creates a log.
     *
     * @param telemetry counts the dropped lines
     */
    public RateLimitedLog(TimeSource time, Telemetry telemetry) {
        this.time = time;
        this.telemetry = telemetry;
        this.secondStartNanos = time.nanoTime();
    }

    /** Starts a routine line; it is dropped above the limit for routine lines. */
    public LoggingEventBuilder routine(GatewayEvent event) {
        startSecond();
        routineLines++;
        return routineLines <= ROUTINE_LINES_PER_SECOND ? line(event) : dropped();
    }

    /** Starts a line about a failure, a refusal or a state change; it is dropped above the limit for these. */
    public LoggingEventBuilder important(GatewayEvent event) {
        startSecond();
        importantLines++;
        return importantLines <= IMPORTANT_LINES_PER_SECOND ? line(event) : dropped();
    }

    private static LoggingEventBuilder line(GatewayEvent event) {
        Level level = event.level();
        return LOGGER.makeLoggingEventBuilder(level)
                .setMessage(event.template())
                .addKeyValue("event", "MF" + event.number());
    }

    private LoggingEventBuilder dropped() {
        telemetry.count("log_line_left_out");
        return NOPLoggingEventBuilder.singleton();
    }

    private void startSecond() {
        long now = time.nanoTime();
        if (now - secondStartNanos >= SECOND_NANOS) {
            secondStartNanos = now;
            routineLines = 0;
            importantLines = 0;
        }
    }
}
