package io.masticfold.gateway.store;

import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.StoreKind;
import java.time.Duration;

/** Records whether the store answers and whether it was restored, for every kind. */
abstract class AbstractKindListener implements KindListener {

    private final StoreKind kind;
    private final StoreReachability reachability;
    private final RateLimitedLog log;

    AbstractKindListener(StoreKind kind, StoreReachability reachability, RateLimitedLog log) {
        this.kind = kind;
        this.reachability = reachability;
        this.log = log;
    }

    RateLimitedLog log() {
        return log;
    }

    void logIfRestored(long revision, boolean restored) {
        if (restored) {
            log.important(GatewayEvent.STORE_RESTORED)
                    .addKeyValue("kind", kind)
                    .addKeyValue("revision", revision)
                    .log();
        }
    }

    @Override
    public void callFailed(String detail, Duration silence) {
        reachability.failed(detail, silence);
    }

    @Override
    public void callSucceeded() {
        reachability.responded();
    }
}
