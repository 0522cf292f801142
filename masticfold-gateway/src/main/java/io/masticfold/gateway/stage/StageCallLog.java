package io.masticfold.gateway.stage;

import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import org.slf4j.spi.LoggingEventBuilder;

/** Logs the calls to one stage server. */
final class StageCallLog {

    private final RateLimitedLog log;
    private final String pool;
    private final String server;

    StageCallLog(RateLimitedLog log, String pool, String server) {
        this.log = log;
        this.pool = pool;
        this.server = server;
    }

    /**
     * Logs a successful call.
     *
     * @param waiting number of pieces that wait for the next call
     * @param freeBytes free result storage of the server, in bytes
     */
    void succeeded(StageCall call, int waiting, long freeBytes) {
        withCall(log.routine(GatewayEvent.STAGE_CALL_COMPLETED), call)
                .addKeyValue("callMillis", (long) call.elapsedMillis())
                .addKeyValue("expectedMillis", (long) call.expectedMillis())
                .addKeyValue("waiting", waiting)
                .addKeyValue("roomBytes", freeBytes)
                .log();
    }

    /** Logs a call that failed or was abandoned. */
    void failed(StageCall call, String problem) {
        withCall(log.important(GatewayEvent.STAGE_CALL_FAILED), call)
                .addKeyValue("afterMillis", (long) call.elapsedMillis())
                .addKeyValue("problem", problem)
                .log();
    }

    private LoggingEventBuilder withCall(LoggingEventBuilder line, StageCall call) {
        return line.addKeyValue("pool", pool)
                .addKeyValue("target", server)
                .addKeyValue("pieces", call.pieces().size());
    }
}
