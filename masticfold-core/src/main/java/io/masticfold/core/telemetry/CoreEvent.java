package io.masticfold.core.telemetry;

import org.slf4j.event.Level;

/** Lists the log events of the decisions; numbers from 1000. */
public enum CoreEvent implements LogEvent {
    /** A target has turned cold; its limit is back at the cold bound. */
    TARGET_TURNED_COLD(1001, Level.WARN, "target {} turned cold; its limit is {}"),
    /** The client of a target threw instead of reporting a failure. */
    TARGET_CLIENT_FAILED(1002, Level.ERROR, "call of attempt {} failed in the target client"),
    /** A listener threw; the other actions of the gate went on. */
    GATE_ACTION_FAILED(1003, Level.ERROR, "an action of the gate failed");

    private final EventLine line;

    CoreEvent(int number, Level level, String template) {
        line = new EventLine(number, level, template);
    }

    @Override
    public EventLine line() {
        return line;
    }
}
