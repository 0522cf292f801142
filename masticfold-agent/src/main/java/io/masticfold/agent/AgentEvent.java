package io.masticfold.agent;

import io.masticfold.core.telemetry.EventDefinition;
import io.masticfold.core.telemetry.LogEvent;
import org.slf4j.event.Level;

/** Lists the log events of the agent. */
public enum AgentEvent implements LogEvent {
    STARTED(4001, Level.INFO, "agent {} of target {} started, incarnation {}, entries on {}, operators on {}"),
    LEAVING(4002, Level.INFO, "agent {} is leaving with {} attempts in progress"),
    DRAINED(4003, Level.INFO, "agent {} has no attempts in progress"),
    DRAIN_TIMED_OUT(4004, Level.WARN, "agent {} stops after {} ms with {} attempts in progress"),
    STOPPED(4005, Level.INFO, "agent {} stopped"),
    LOAD_UNKNOWN(4006, Level.WARN, "target {} at {} gives no load report: {}"),
    LOAD_KNOWN(4007, Level.INFO, "target {} at {} gives load reports, boot id {}"),
    CALL_FAILED(4008, Level.INFO, "attempt {} at target {} failed, ran: {}, reason: {}"),
    CANCEL_FAILED(4009, Level.INFO, "target {} did not take the cancellation of attempt {}: {}"),
    LOOP_TASK_FAILED(4010, Level.ERROR, "a task of the event loop failed in {}");

    private final EventDefinition definition;

    AgentEvent(int number, Level level, String template) {
        definition = new EventDefinition(number, level, template);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
