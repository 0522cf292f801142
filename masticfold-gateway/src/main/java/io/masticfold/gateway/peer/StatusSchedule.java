package io.masticfold.gateway.peer;

import io.masticfold.core.time.TimeSource;
import io.masticfold.gateway.peer.proto.KindRead;
import io.masticfold.gateway.peer.proto.PeerStatus;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Decides which of the periodic status frames are sent. A frame with news is sent at the next interval, as every frame
 * was before; one without is sent as a heartbeat only. Load: dozens of idle gateways, whose frames to one another
 * repeated the same. Not thread-safe.
 */
public final class StatusSchedule {

    /**
     * Longest time between two frames. Several fit into {@link PeerLinks#SILENCE_TIMEOUT}, and into the longer ages at
     * which receivers ignore what a status says.
     */
    static final Duration HEARTBEAT = PeerLinks.SILENCE_TIMEOUT.dividedBy(3);

    /** The decisions are made at intervals that vary a little; a heartbeat must not wait for the next one for that. */
    private static final long HEARTBEAT_DUE_NANOS =
            HEARTBEAT.minus(PeerLinks.STATUS_INTERVAL.dividedBy(2)).toNanos();

    private final TimeSource time;
    private @Nullable PeerStatus lastSent;
    private long lastSentNanos;

    /** Creates a schedule that sends the first status. */
    public StatusSchedule(TimeSource time) {
        this.time = time;
    }

    /**
     * Returns whether to send a status now, and regards it as sent if so.
     *
     * @param status present status of this gateway
     * @param required whether it is sent even if it repeats the last one: a peer has connected, or the last one was
     *     overtaken by work in between
     */
    public boolean send(PeerStatus status, boolean required) {
        PeerStatus last = lastSent;
        long now = time.nanoTime();
        if (last != null && !required && now - lastSentNanos < HEARTBEAT_DUE_NANOS && !news(last, status)) {
            return false;
        }
        lastSent = status;
        lastSentNanos = now;
        return true;
    }

    private static boolean news(PeerStatus last, PeerStatus next) {
        // Observations of targets are taken out of their collection when they are added to a status.
        return next.getTargetsCount() > 0
                || next.getDraining() != last.getDraining()
                || next.getConfigurationVersion() != last.getConfigurationVersion()
                || !next.getServersList().equals(last.getServersList())
                || !next.getCommitmentsList().equals(last.getCommitmentsList())
                || readsChanged(last.getReadsList(), next.getReadsList());
    }

    /** The age of a read grows until the store answers the next one, which the peers then need not make. */
    private static boolean readsChanged(List<KindRead> last, List<KindRead> next) {
        if (last.size() != next.size()) {
            return true;
        }
        for (int i = 0; i < next.size(); i++) {
            KindRead before = last.get(i);
            KindRead read = next.get(i);
            if (read.getKind() != before.getKind()
                    || read.getEra() != before.getEra()
                    || read.getDigest() != before.getDigest()
                    || read.getAgeMillis() < before.getAgeMillis()) {
                return true;
            }
        }
        return false;
    }
}
