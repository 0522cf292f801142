package io.masticfold.gateway.log;

import io.masticfold.core.telemetry.EventDefinition;
import io.masticfold.core.telemetry.LogEvent;
import org.slf4j.event.Level;

/** Lists the numbered log events of the gateway, 6000 to 6999. */
public enum GatewayEvent implements LogEvent {
    STARTED(6000, Level.INFO, "gateway started"),
    STOPPING(6001, Level.INFO, "shutdown requested; the readiness probe fails from now on"),
    STOPPED(6002, Level.INFO, "gateway stopped"),
    START_FAILED(6003, Level.ERROR, "gateway did not start"),
    SETTINGS_RELOADED(6004, Level.INFO, "settings were reloaded"),
    SETTINGS_REJECTED(6005, Level.ERROR, "changed settings are invalid; the previous settings stay in effect"),
    CONFIGURATION_IN_FORCE(6010, Level.INFO, "a newer configuration is in effect"),
    CONFIGURATION_REJECTED(6011, Level.ERROR, "a configuration cannot be decoded; the previous one stays in effect"),
    STORE_UNREACHABLE(6012, Level.WARN, "the object store does not respond"),
    STORE_RECOVERED(6013, Level.INFO, "the object store responds again"),
    TARGET_ADDED(6014, Level.INFO, "a target has become available"),
    TARGET_CHANGED(6015, Level.INFO, "the state of a target has changed"),
    TARGET_REMOVED(6016, Level.INFO, "a target was removed"),
    DIRECTORY_ENTRY_IGNORED(6017, Level.WARN, "an entry of the service directory does not describe a usable target"),
    ZONES_OUT_CHANGED(6018, Level.INFO, "the set of availability zones out of service has changed"),
    READY(6019, Level.INFO, "the readiness probe succeeds from now on"),
    REQUEST_ANSWERED(6020, Level.INFO, "request was answered"),
    REQUEST_REFUSED(6021, Level.INFO, "request was refused"),
    REQUEST_FAILED(6022, Level.INFO, "request failed"),
    REQUEST_CANCELLED(6023, Level.INFO, "caller disconnected before the response was complete"),
    REQUEST_SENT(6024, Level.INFO, "request was sent to a target"),
    SEND_FAILED(6025, Level.INFO, "a target did not serve the request"),
    STAGE_CALL_FAILED(6026, Level.INFO, "a call to a stage server failed"),
    BAD_REQUEST(6027, Level.INFO, "a request was refused before it was routed"),
    TARGET_SUSPECT(6028, Level.WARN, "a target is suspect after failures; others are preferred for a while"),
    PEER_STATE_ADOPTED(6029, Level.INFO, "newer state was adopted from a peer"),
    HANDLER_FAILED(6030, Level.ERROR, "a request failed because of an internal error"),
    STAGE_CALL_COMPLETED(6031, Level.INFO, "a call to a stage server completed"),
    STAGE_PIECE_FAILED(6032, Level.INFO, "a piece of stage work failed"),
    PEER_STATE_REJECTED(6033, Level.ERROR, "state received from a peer cannot be decoded"),
    TASK_FAILED(6034, Level.ERROR, "a task of the event loop failed because of an internal error"),
    CONNECTION_FAILED(6035, Level.ERROR, "a caller's connection failed because of an internal error"),
    STORE_RESTORED(6036, Level.WARN, "the object store was restored from a copy; what it lacks is kept for a while"),
    PROCESS_PAUSED(6037, Level.WARN, "this process was paused; decisions wait until the object store was read again"),
    PROMPT_PART_ACCUSED(6038, Level.INFO, "a target ended while it began an answer on a prompt part"),
    PROMPT_PART_QUARANTINED(
            6039, Level.WARN, "a prompt part crashes targets; requests with it are refused from now on"),
    PROMPT_PART_CLEARED(6040, Level.INFO, "a prompt part is no longer suspected or quarantined"),
    QUARANTINE_UNREADABLE(6041, Level.ERROR, "the quarantined prompt parts in the object store cannot be decoded"),
    TARGET_LIMIT_NAMED(6042, Level.WARN, "a target names a limit on the requests that it takes from all gateways"),
    TARGET_LIMIT_LIFTED(6043, Level.INFO, "a target names no limit any more"),
    REQUEST_ACCUSED(6044, Level.INFO, "a target ended while it began the answer to a request"),
    REQUEST_QUARANTINED(6045, Level.WARN, "a request crashes targets; it is refused from now on"),
    REQUEST_CLEARED(6046, Level.INFO, "a request is no longer suspected or quarantined"),
    SOFTWARE_VERSION_SEEN(6047, Level.INFO, "a software version may have begun the streams of a pool"),
    STREAM_RECORD_UNREADABLE(6048, Level.ERROR, "a record of streams in the object store cannot be decoded"),
    STREAM_NOT_RESUMED(6049, Level.WARN, "a stream does not go on, since its software version is gone or not known"),
    TARGET_PAUSED(6050, Level.INFO, "a target wants nothing from this gateway for some time"),
    TARGET_LEAVING(6051, Level.INFO, "a target says in an answer that it leaves; it is sent nothing more"),
    SECOND_RESPONSE_REFUSED(
            6052, Level.ERROR, "a second response to one request was not written; the connection was reset"),
    REQUEST_HEDGED(6053, Level.INFO, "a request was sent to a second target because its answer is late"),
    STORE_CONNECTION_SILENT(
            6054, Level.WARN, "a connection to the object store fell silent while the store answers on others"),
    REGISTRATION_REPLACED(6055, Level.WARN, "the entry of an earlier process of this name was replaced in the store"),
    NAME_TAKEN_OVER(6056, Level.WARN, "another process has registered under the name of this one; its entry stays"),
    PEER_MISMATCH(6057, Level.WARN, "a peer's address is answered by another gateway; the connection was closed"),
    ROLLOUT_ORDERED(6060, Level.WARN, "an order moves a pool to another software version"),
    ROLLOUT_STEP(6061, Level.WARN, "this gateway has taken the next step of a roll-out"),
    ROLLOUT_STATE(6062, Level.WARN, "the stored state of a roll-out has changed"),
    ROLLOUT_UNREADABLE(6063, Level.ERROR, "an order in the object store cannot be decoded"),
    REQUEST_WAITS_FOR_TARGET(6070, Level.INFO, "a request waits in this gateway for a target"),
    WAITING_REQUEST_ADMITTED(6071, Level.INFO, "a request that waited for a target is sent now"),
    REQUEST_NOT_ADMITTED(6072, Level.INFO, "a request cannot be served in time and is rejected before it is sent"),
    READER_SHED(6080, Level.WARN, "a caller's connection was reset, since it does not read and the memory is needed");

    private final EventDefinition definition;

    GatewayEvent(int number, Level level, String template) {
        definition = new EventDefinition(number, level, template);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
