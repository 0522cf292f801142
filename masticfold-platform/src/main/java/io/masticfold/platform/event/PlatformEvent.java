package io.masticfold.platform.event;

import io.masticfold.core.telemetry.EventDefinition;
import io.masticfold.core.telemetry.LogEvent;
import org.slf4j.event.Level;

/** Lists the log events of the platform module. */
public enum PlatformEvent implements LogEvent {
    STORE_UNREACHABLE(3001, Level.WARN, "object API is unreachable after {} consecutive failures, next probe in {} ms"),
    STORE_REACHABLE(3002, Level.INFO, "object API is reachable again"),
    STORE_ANSWER_MALFORMED(3003, Level.WARN, "object API sent a malformed response to {}: {}"),
    CONFIG_LOADED(3010, Level.INFO, "configuration loaded: {} objects, revision {}"),
    CONFIG_OBJECT_REFUSED(3011, Level.WARN, "skipping invalid object {} version {}: {}"),
    CONFIG_COMPACTED(3012, Level.INFO, "history since revision {} was compacted, listing again"),
    CONFIG_REVISION_RESET(3013, Level.WARN, "object API revision went backwards from {} to {}, listing again"),
    CONFIG_UNREACHABLE(3014, Level.WARN, "configuration cannot be read ({}), next try in {} ms"),
    CONFIG_OBJECT_GONE(
            3015, Level.INFO, "object {} is missing from the object API, treating it as deleted at revision {}"),
    CLAIM_MALFORMED(3020, Level.ERROR, "claim {} version {} cannot be read: {}"),
    CLAIMS_DELETED(3021, Level.INFO, "deleted {} claims past their retention period"),
    LEASE_ACQUIRED(3030, Level.INFO, "lease {} acquired, fencing number {}"),
    LEASE_LAPSED(3031, Level.WARN, "lease {} with fencing number {} was lost: {}"),
    CONFIG_WATCH_ROLE(3032, Level.INFO, "role of this process in the configuration watch is {}, slot {}");

    private final EventDefinition definition;

    PlatformEvent(int number, Level level, String template) {
        definition = new EventDefinition(number, level, template);
    }

    @Override
    public EventDefinition definition() {
        return definition;
    }
}
