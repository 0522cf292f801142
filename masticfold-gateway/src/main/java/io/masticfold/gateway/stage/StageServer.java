package io.masticfold.gateway.stage;

import io.masticfold.core.forward.StagePoolSpec;
import io.masticfold.core.stage.StageServerLoad;
import io.masticfold.core.target.TargetRecord;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Keeps what this gateway knows of one stage server. Used by one thread. */
final class StageServer {

    /** Weight of the newest call in the measured slowness. */
    private static final double SLOWNESS_WEIGHT = 0.3;

    /** Range of the measured slowness. */
    private static final double LEAST_SLOWNESS = 0.7;

    private static final double MOST_SLOWNESS = 20;

    private static final double NANOS_PER_MILLI = 1e6;

    private final TargetRecord target;
    private final Set<String> kept = new HashSet<>();
    private List<String> toFree = new ArrayList<>();
    private long toFreeBytes;
    private long keptBytes;
    private long callBytes;
    private int calls;
    private long busyUntilNanos;
    private long refusingUntilNanos;
    private double slowness = 1;

    StageServer(TargetRecord target, long nowNanos) {
        this.target = target;
        this.refusingUntilNanos = nowNanos;
    }

    TargetRecord target() {
        return target;
    }

    StageServerLoad load(StagePoolSpec spec, boolean home, long nowNanos) {
        return new StageServerLoad(
                target.id(),
                home,
                calls,
                calls == 0 ? 0 : Math.max(0, (busyUntilNanos - nowNanos) / NANOS_PER_MILLI),
                slowness,
                spec.roomBytes() - keptBytes - callBytes,
                refusingUntilNanos - nowNanos > 0);
    }

    void callStarted(long bytes, double expectedMillis, long nowNanos) {
        calls++;
        callBytes += bytes;
        busyUntilNanos = nowNanos + (long) (expectedMillis * slowness * NANOS_PER_MILLI);
    }

    void callEnded(long bytes) {
        calls--;
        callBytes -= bytes;
    }

    void measured(double expectedMillis, double actualMillis) {
        double next = (1 - SLOWNESS_WEIGHT) * slowness + SLOWNESS_WEIGHT * actualMillis / expectedMillis;
        slowness = Math.max(LEAST_SLOWNESS, Math.min(MOST_SLOWNESS, next));
    }

    void refuse(Duration pause, long nowNanos) {
        refusingUntilNanos = nowNanos + pause.toNanos();
    }

    void keep(StageResult result) {
        if (kept.add(result.handle())) {
            keptBytes += result.bytes();
        }
    }

    /** Notes that a result is no longer needed; returns whether it is the first one to be released. */
    boolean release(StageResult result) {
        if (!kept.remove(result.handle())) {
            return false;
        }
        toFree.add(result.handle());
        toFreeBytes += result.bytes();
        // The room counts as taken until the server has been told.
        return toFree.size() == 1;
    }

    /** Takes the handles to release; their room counts as free from now on. */
    List<String> takeReleased() {
        List<String> handles = toFree;
        toFree = new ArrayList<>();
        keptBytes -= toFreeBytes;
        toFreeBytes = 0;
        return handles;
    }
}
