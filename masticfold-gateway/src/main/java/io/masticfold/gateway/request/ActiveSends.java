package io.masticfold.gateway.request;

import io.masticfold.core.hedge.ConcurrentSends;
import io.masticfold.core.telemetry.Telemetry;
import java.util.List;
import java.util.Optional;

/** Sends of one request that are in progress. Used by one thread. */
final class ActiveSends {

    private final SendHistory history;
    private final ConcurrentSends<TargetResponseReceiver> sends = new ConcurrentSends<>();

    ActiveSends(SendHistory history) {
        this.history = history;
    }

    void add(TargetResponseReceiver send) {
        sends.add(send);
    }

    boolean isEmpty() {
        return sends.isEmpty();
    }

    boolean contains(TargetResponseReceiver send) {
        return sends.contains(send);
    }

    /** Returns the send that began last. */
    Optional<TargetResponseReceiver> latest() {
        return sends.latest();
    }

    List<TargetResponseReceiver> all() {
        return sends.all();
    }

    /** Removes a send that has failed; returns whether another is in progress, whose answer is awaited. */
    boolean failed(TargetResponseReceiver send) {
        return sends.failed(send);
    }

    /** Closes the connections of all sends but the one that has been answered. */
    void cancelOthers(TargetResponseReceiver answered, Telemetry telemetry) {
        for (TargetResponseReceiver other : sends.answered(answered)) {
            other.cancel();
            telemetry.count("hedge_cancelled");
        }
    }

    /** Closes the connections of all sends; if a byte has left, the request may have run. */
    void cancelAll() {
        for (TargetResponseReceiver active : sends.removeAll()) {
            if (active.cancel()) {
                history.recordCancelled();
            }
        }
    }
}
