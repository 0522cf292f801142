package io.masticfold.core.stage;

import io.masticfold.core.forward.StagePoolSpec;
import java.util.List;
import java.util.Optional;

/**
 * Chooses the server of the next call of a stage pool. A call lasts long however few pieces it carries, and one server
 * runs one call at a time for all gateways. Each gateway therefore collects its pieces for its home servers, so that
 * the pieces that arrive during one call share the next one, and turns to other servers only when its home servers are
 * so slow or so full that even a call that waits behind another gateway's ends earlier.
 */
public final class StagePlacement {

    private StagePlacement() {}

    /**
     * Chooses a server.
     *
     * @param spec the pool
     * @param servers its servers
     * @param waitingPieces pieces that wait for a call
     * @param pieceBytes room for the result of the first of them, in bytes
     * @return the server to call now; empty if the pieces should wait
     */
    public static Optional<StageServerLoad> choose(
            StagePoolSpec spec, List<StageServerLoad> servers, int waitingPieces, long pieceBytes) {
        StageServerLoad best = null;
        double bestMillis = Double.MAX_VALUE;
        for (StageServerLoad server : servers) {
            if (server.refusing() || server.roomBytes() < pieceBytes) {
                continue;
            }
            double millis = finishMillis(spec, server, waitingPieces);
            if (millis < bestMillis) {
                best = server;
                bestMillis = millis;
            }
        }
        return best == null || best.calls() > 0 ? Optional.empty() : Optional.of(best);
    }

    private static double finishMillis(StagePoolSpec spec, StageServerLoad server, int waitingPieces) {
        double call = spec.expectedMillis(Math.min(waitingPieces, spec.batch())) * server.slowness();
        // A foreign server is expected to be in the middle of a full call of its own gateway.
        double foreign = server.home() ? 0 : spec.expectedMillis(spec.batch());
        return server.remainingMillis() + foreign + call * callsNeeded(spec, server, waitingPieces);
    }

    private static double callsNeeded(StagePoolSpec spec, StageServerLoad server, int waitingPieces) {
        // Behind a busy home server the last waiting piece needs all calls; an idle server takes one of them.
        return server.calls() > 0 ? Math.ceil((double) waitingPieces / spec.batch()) : 1;
    }
}
