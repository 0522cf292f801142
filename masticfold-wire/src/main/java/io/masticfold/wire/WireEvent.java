package io.masticfold.wire;

import io.masticfold.core.telemetry.EventDefinition;
import io.masticfold.core.telemetry.LogEvent;
import org.slf4j.event.Level;

/** Log events of the transport. */
public enum WireEvent implements LogEvent {
    LINK_UP(2001, Level.INFO, "link with {} at {} is up, incarnation {}"),
    LINK_DOWN(2002, Level.INFO, "link with {} at {} is down, {} attempts were open"),
    DIAL_FAILED(2003, Level.DEBUG, "connection to {} failed, next attempt in {} ms: {}"),
    HANDSHAKE_REJECTED(2004, Level.WARN, "handshake with {} rejected: {}"),
    HANDSHAKE_TIMED_OUT(2005, Level.WARN, "handshake with {} timed out after {} ms"),
    FRAME_REJECTED(2006, Level.WARN, "connection with {} closed after an invalid frame: {}"),
    TOO_MANY_CONNECTIONS(2007, Level.WARN, "connection from {} refused, {} connections are open"),
    LINK_SILENT(2008, Level.WARN, "link with {} at {} closed after {} ms without a heartbeat"),
    CONNECTION_FAILED(2009, Level.INFO, "connection with {} failed: {}"),
    LISTENER_FAILED(2010, Level.ERROR, "listener of attempt {} failed"),
    CONFIG_OBJECT_REJECTED(2011, Level.WARN, "cannot decode configuration object {}/{} version {} from {}: {}"),
    SERVER_STARTED(2012, Level.INFO, "listening for entries on {}"),
    SERVER_STOPPED(2013, Level.INFO, "stopped listening for entries"),
    RESULT_TOO_LARGE(2014, Level.WARN, "result of attempt {} exceeds the size limit: {} bytes"),
    WINDOW_EXCEEDED(2015, Level.WARN, "attempt {} cancelled, {} buffered bytes exceed the flow-control window"),
    ATTEMPT_MESSAGE_IGNORED(2016, Level.WARN, "message for attempt {} from {} ignored: {}"),
    HANDLER_FAILED(2017, Level.ERROR, "handler of connection with {} failed");

    private final EventDefinition definition;

    WireEvent(int number, Level level, String template) {
        definition = new EventDefinition(number, level, template);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
