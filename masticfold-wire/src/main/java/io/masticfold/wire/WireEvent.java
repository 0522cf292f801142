package io.masticfold.wire;

import io.masticfold.core.telemetry.EventDefinition;
import io.masticfold.core.telemetry.LogEvent;
import org.slf4j.event.Level;

/** Lists the log events of the transport. */
public enum WireEvent implements LogEvent {
    LINK_UP(2001, Level.INFO, "link with {} at {} is up, incarnation {}"),
    LINK_DOWN(2002, Level.INFO, "link with {} at {} is down, {} attempts were open"),
    DIAL_FAILED(2003, Level.DEBUG, "connection to {} failed, next try in {} ms: {}"),
    HANDSHAKE_REJECTED(2004, Level.WARN, "handshake with {} was rejected: {}"),
    HANDSHAKE_TIMED_OUT(2005, Level.WARN, "handshake with {} did not finish within {} ms"),
    FRAME_REJECTED(2006, Level.WARN, "connection from {} is closed because of a frame that is not acceptable: {}"),
    TOO_MANY_CONNECTIONS(2007, Level.WARN, "connection from {} is refused, {} connections are open"),
    LINK_SILENT(2008, Level.WARN, "link with {} at {} is closed after {} ms without a heartbeat"),
    CONNECTION_FAILED(2009, Level.INFO, "connection with {} failed: {}"),
    LISTENER_FAILED(2010, Level.ERROR, "the listener of attempt {} failed"),
    OBJECT_REJECTED(2011, Level.WARN, "configuration object {}/{} version {} from {} is not readable: {}"),
    SERVER_STARTED(2012, Level.INFO, "listening for entries on {}"),
    SERVER_STOPPED(2013, Level.INFO, "stopped listening for entries"),
    RESULT_TOO_LARGE(2014, Level.WARN, "the result of attempt {} has {} bytes, more than a frame holds"),
    WINDOW_EXCEEDED(2015, Level.WARN, "attempt {} is cancelled, {} bytes of its result exceed the window"),
    ATTEMPT_REJECTED(2016, Level.WARN, "a message of attempt {} from {} is ignored: {}"),
    HANDLER_FAILED(2017, Level.ERROR, "the handler of connection {} failed");

    private final EventDefinition definition;

    WireEvent(int number, Level level, String template) {
        definition = new EventDefinition(number, level, template);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
