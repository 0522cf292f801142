package io.masticfold.gateway.store;

import io.masticfold.core.directory.TargetTable;
import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import java.time.Duration;
import java.util.function.Supplier;

/** Records whether the store answers, for the calls of all kinds. Not thread-safe. */
final class StoreReachability {

    private final TargetTable table;
    private final TimeSource time;
    private final Supplier<Duration> latestReadAge;
    private final RateLimitedLog log;
    private boolean unreachable;
    private long answeredNanos;

    /**
     * Creates a record of a store that answers.
     *
     * @param table keeps entries that may have lapsed while the store did not answer
     * @param latestReadAge returns the time since the store answered any gateway, as far as this one knows
     */
    StoreReachability(TargetTable table, TimeSource time, Supplier<Duration> latestReadAge, RateLimitedLog log) {
        this.table = table;
        this.latestReadAge = latestReadAge;
        this.time = time;
        this.log = log;
        this.answeredNanos = time.nanoTime();
    }

    /** Returns whether the last call to the store succeeded. */
    boolean reachable() {
        return !unreachable;
    }

    private Duration sinceAnswer() {
        Duration own = Duration.ofNanos(time.nanoTime() - answeredNanos);
        Duration any = latestReadAge.get();
        return any.compareTo(own) < 0 ? any : own;
    }

    /**
     * Records a call that failed. A connection may fall silent while the store answers on others: a call without an
     * answer tells nothing of the store until other calls would have been answered.
     *
     * @param silence time since the store last answered if it did not answer the call; zero if it refused the call
     */
    void failed(String detail, Duration silence) {
        Duration sinceAnswer = sinceAnswer();
        if (!silence.isZero() && sinceAnswer.compareTo(TargetTable.MIN_EXPIRY_OUTAGE) < 0) {
            log.important(GatewayEvent.STORE_CONNECTION_SILENT)
                    .addKeyValue("detail", detail)
                    .addKeyValue("answeredMillisAgo", sinceAnswer.toMillis())
                    .log();
            return;
        }
        table.directoryFailed(silence.compareTo(sinceAnswer) < 0 ? silence : sinceAnswer);
        if (!unreachable) {
            unreachable = true;
            log.important(GatewayEvent.STORE_UNREACHABLE)
                    .addKeyValue("detail", detail)
                    .log();
        }
    }

    void responded() {
        answeredNanos = time.nanoTime();
        table.directoryAnswered();
        if (unreachable) {
            unreachable = false;
            log.important(GatewayEvent.STORE_RECOVERED).log();
        }
    }
}
