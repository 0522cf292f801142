package io.masticfold.gateway.quarantine;

import io.masticfold.core.quarantine.SuspectKind;
import io.masticfold.gateway.log.GatewayEvent;

/** Names the log events and counters of each kind of suspect. */
enum SuspectEvents {
    PROMPT_PART(
            "prompt_part",
            GatewayEvent.PROMPT_PART_ACCUSED,
            GatewayEvent.PROMPT_PART_QUARANTINED,
            GatewayEvent.PROMPT_PART_CLEARED),
    REQUEST(
            "poison_request",
            GatewayEvent.REQUEST_ACCUSED,
            GatewayEvent.REQUEST_QUARANTINED,
            GatewayEvent.REQUEST_CLEARED);

    private final String counterPrefix;
    private final GatewayEvent accused;
    private final GatewayEvent quarantined;
    private final GatewayEvent cleared;

    SuspectEvents(String counterPrefix, GatewayEvent accused, GatewayEvent quarantined, GatewayEvent cleared) {
        this.counterPrefix = counterPrefix;
        this.accused = accused;
        this.quarantined = quarantined;
        this.cleared = cleared;
    }

    static SuspectEvents of(String suspect) {
        return switch (SuspectKind.of(suspect)) {
            case PROMPT_PART -> PROMPT_PART;
            case REQUEST -> REQUEST;
        };
    }

    GatewayEvent accused() {
        return accused;
    }

    GatewayEvent quarantined() {
        return quarantined;
    }

    GatewayEvent cleared() {
        return cleared;
    }

    String accusedCounter() {
        return counterPrefix + "_accused";
    }

    String quarantinedCounter() {
        return counterPrefix + "_quarantined";
    }

    String clearedCounter() {
        return counterPrefix + "_cleared";
    }
}
