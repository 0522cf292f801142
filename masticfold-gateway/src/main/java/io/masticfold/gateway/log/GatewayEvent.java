package io.masticfold.gateway.log;

import io.masticfold.core.telemetry.EventDefinition;
import io.masticfold.core.telemetry.LogEvent;
import org.slf4j.event.Level;

/** Lists the numbered log events of the gateway, 6000 to 6999. */
public enum GatewayEvent implements LogEvent {
    STARTED(6000, Level.INFO, "gateway started"),
    STOPPING(6001, Level.INFO, "stop requested; readiness is off"),
    STOPPED(6002, Level.INFO, "gateway stopped"),
    START_FAILED(6003, Level.ERROR, "gateway did not start"),
    SETTINGS_RELOADED(6004, Level.INFO, "settings were read again"),
    SETTINGS_REFUSED(6005, Level.ERROR, "changed settings are not valid; the former ones stay in force"),
    CONFIGURATION_IN_FORCE(6010, Level.INFO, "a newer configuration is in force"),
    CONFIGURATION_REFUSED(6011, Level.ERROR, "a configuration cannot be read; the former one stays in force"),
    STORE_LOST(6012, Level.WARN, "the object store does not answer"),
    STORE_REGAINED(6013, Level.INFO, "the object store answers again"),
    TARGET_ADDED(6014, Level.INFO, "a target can be used"),
    TARGET_CHANGED(6015, Level.INFO, "a target changed its state"),
    TARGET_REMOVED(6016, Level.INFO, "a target is gone"),
    ENTRY_IGNORED(6017, Level.WARN, "an entry of the service directory names no usable target"),
    ZONES_OUT(6018, Level.INFO, "the availability zones that are out have changed"),
    READY(6019, Level.INFO, "readiness is on"),
    REQUEST_ANSWERED(6020, Level.INFO, "request was answered"),
    REQUEST_REFUSED(6021, Level.INFO, "request was refused"),
    REQUEST_FAILED(6022, Level.INFO, "request failed"),
    REQUEST_CANCELLED(6023, Level.INFO, "caller left before the answer was complete"),
    REQUEST_SENT(6024, Level.INFO, "request was sent to a target"),
    SEND_FAILED(6025, Level.INFO, "a target did not serve the request"),
    STAGE_CALL_FAILED(6026, Level.INFO, "a stage server did not make pieces"),
    BAD_REQUEST(6027, Level.INFO, "a request was refused before it was routed"),
    TARGET_SUSPECT(6028, Level.WARN, "a target failed and is used last for a while"),
    PEER_CAUGHT_UP(6029, Level.INFO, "newer state was taken over from a peer"),
    HANDLER_FAILED(6030, Level.ERROR, "a request failed by a fault of the gateway"),
    STAGE_CALLED(6031, Level.INFO, "a stage server made pieces"),
    STAGE_PIECE_FAILED(6032, Level.INFO, "a piece of stage work was not made"),
    PEER_REFUSED(6033, Level.ERROR, "state told by a peer cannot be read"),
    TASK_FAILED(6034, Level.ERROR, "a task of the event loop failed by a fault of the gateway"),
    CONNECTION_FAILED(6035, Level.ERROR, "a caller's connection failed by a fault of the gateway");

    private final EventDefinition definition;

    GatewayEvent(int number, Level level, String template) {
        definition = new EventDefinition(number, level, template);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
