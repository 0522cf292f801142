package io.masticfold.agent;

import io.masticfold.core.telemetry.EventDefinition;
import io.masticfold.core.telemetry.LogEvent;
import org.slf4j.event.Level;

/** Numbered log events of the agent, 4000 to 4999. */
public enum AgentEvent implements LogEvent {
    STARTED(
            4001,
            Level.INFO,
            "agent {} for target {} started: incarnation {}, listening for entries on {}, admin interface on {}"),
    SHUTTING_DOWN(4002, Level.INFO, "agent {} is shutting down with {} attempts in progress"),
    DRAINED(4003, Level.INFO, "agent {} drained: no attempts in progress"),
    DRAIN_TIMED_OUT(4004, Level.WARN, "agent {} did not drain within {} ms; stopping with {} attempts in progress"),
    STOPPED(4005, Level.INFO, "agent {} stopped"),
    LOAD_REPORT_UNAVAILABLE(4006, Level.WARN, "no load report from target {} at {}: {}"),
    LOAD_REPORT_AVAILABLE(4007, Level.INFO, "receiving load reports from target {} at {}, boot id {}"),
    CALL_FAILED(4008, Level.INFO, "attempt {} on target {} failed, ran: {}, reason: {}"),
    CANCEL_FAILED(4009, Level.INFO, "target {} did not accept the cancellation of attempt {}: {}"),
    EVENT_LOOP_TASK_FAILED(4010, Level.ERROR, "uncaught exception in event loop task: {}");

    private final EventDefinition definition;

    AgentEvent(int number, Level level, String template) {
        definition = new EventDefinition(number, level, template);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
