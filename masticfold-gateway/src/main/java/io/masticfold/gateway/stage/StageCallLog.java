package io.masticfold.gateway.stage;

import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import org.slf4j.spi.LoggingEventBuilder;

/** Writes the lines about the calls of one stage server. */
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
     * Tells that a call has made its pieces.
     *
     * @param waiting pieces that wait for the next call
     * @param roomBytes room that is left at the server, in bytes
     */
    void made(StageCall call, int waiting, long roomBytes) {
        about(log.routine(GatewayEvent.STAGE_CALL_COMPLETED), call)
                .addKeyValue("callMillis", (long) call.elapsedMillis())
                .addKeyValue("expectedMillis", (long) call.expectedMillis())
                .addKeyValue("waiting", waiting)
                .addKeyValue("roomBytes", roomBytes)
                .log();
    }

    /** Tells that a call has not made its pieces, or that it is given up. */
    void failed(StageCall call, String problem) {
        about(log.important(GatewayEvent.STAGE_CALL_FAILED), call)
                .addKeyValue("afterMillis", (long) call.elapsedMillis())
                .addKeyValue("problem", problem)
                .log();
    }

    private LoggingEventBuilder about(LoggingEventBuilder line, StageCall call) {
        return line.addKeyValue("pool", pool)
                .addKeyValue("target", server)
                .addKeyValue("pieces", call.pieces().size());
    }
}
