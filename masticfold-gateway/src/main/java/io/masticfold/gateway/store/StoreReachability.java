package io.masticfold.gateway.store;

import io.masticfold.core.directory.TargetTable;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import java.time.Duration;

/** Records whether the store answers, for the calls of all kinds. Not thread-safe. */
final class StoreReachability {

    private final TargetTable table;
    private final RateLimitedLog log;
    private boolean unreachable;

    /**
     * Creates a record of a store that answers.
     *
     * @param table keeps entries that may have lapsed while the store did not answer
     */
    StoreReachability(TargetTable table, RateLimitedLog log) {
        this.table = table;
        this.log = log;
    }

    /** Returns whether the last call to the store succeeded. */
    boolean reachable() {
        return !unreachable;
    }

    /**
     * Records a call that failed.
     *
     * @param silence time since the store last answered if it did not answer the call; zero if it refused the call
     */
    void failed(String detail, Duration silence) {
        table.directoryFailed(silence);
        if (!unreachable) {
            unreachable = true;
            log.important(GatewayEvent.STORE_UNREACHABLE)
                    .addKeyValue("detail", detail)
                    .log();
        }
    }

    void responded() {
        table.directoryAnswered();
        if (unreachable) {
            unreachable = false;
            log.important(GatewayEvent.STORE_RECOVERED).log();
        }
    }
}
