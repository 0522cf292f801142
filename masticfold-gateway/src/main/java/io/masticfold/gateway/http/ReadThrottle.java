package io.masticfold.gateway.http;

import io.masticfold.core.time.LoopShares;
import io.netty.channel.Channel;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Decides when a connection to a server or of a caller is read: while the receiver takes what arrives, and while the
 * peer has not had more than its share of the event loop's time. Used on the event loop of the connection only.
 */
final class ReadThrottle {

    private static final long NO_TURN = Long.MIN_VALUE;

    private final ReadShares shares;
    private final Object peer;
    private final boolean shortTurnsPass;
    private final LongSupplier processorNanos;
    private @Nullable Channel channel;
    private long turnStartNanos = NO_TURN;
    private long lastTurnNanos;
    private long prepaidNanos;
    private boolean heldBack;
    private long heldBackSinceNanos;
    private long heldBackNanos;
    private boolean callerReady = true;

    /**
     * Creates the throttle of one connection.
     *
     * @param peer key of the peer's account
     * @param shortTurnsPass whether the connection is read on after a short turn although its peer has used its share;
     *     callers behind one proxy share an address, and only the connections with long turns wait
     * @param processorNanos processor time that the event loop's thread has used, in nanoseconds; the time of day would
     *     charge a peer for turns in which the thread waits for a processor
     */
    ReadThrottle(ReadShares shares, Object peer, boolean shortTurnsPass, LongSupplier processorNanos) {
        this.shares = shares;
        this.peer = peer;
        this.shortTurnsPass = shortTurnsPass;
        this.processorNanos = processorNanos;
    }

    /** Begins to apply to the open connection. */
    void opened(Channel open) {
        channel = open;
        holdBack();
    }

    /** Returns the time for which the connection has been held back so far, in nanoseconds. */
    long heldBackNanos() {
        return heldBack ? heldBackNanos + shares.nanoTime() - heldBackSinceNanos : heldBackNanos;
    }

    void setCallerReady(boolean ready) {
        callerReady = ready;
        apply();
    }

    /** Called for all bytes that the peer has sent, before they are decoded. */
    void bytesReceived() {
        if (turnStartNanos == NO_TURN) {
            turnStartNanos = processorNanos.getAsLong();
        }
    }

    /** Called when everything that a turn of the event loop read has been passed on. */
    void turnEnded() {
        if (turnStartNanos == NO_TURN) {
            return;
        }
        lastTurnNanos = processorNanos.getAsLong() - turnStartNanos;
        turnStartNanos = NO_TURN;
        shares.charge(peer, lastTurnNanos, prepaidNanos);
        prepaidNanos = 0;
        holdBack();
    }

    private void holdBack() {
        if (heldBack || shortTurnsPass && LoopShares.isFree(lastTurnNanos)) {
            return;
        }
        Duration wait = shares.waitBeforeRead(peer);
        if (wait.isZero()) {
            return;
        }
        heldBack = true;
        heldBackSinceNanos = shares.nanoTime();
        apply();
        scheduleResume(wait);
    }

    private void scheduleResume(Duration wait) {
        Channel open = channel;
        if (open != null) {
            open.eventLoop().schedule(this::resume, wait.toNanos(), TimeUnit.NANOSECONDS);
        }
    }

    private void resume() {
        Channel open = channel;
        if (open == null || !open.isActive()) {
            return;
        }
        Duration wait = shares.waitBeforeRead(peer);
        if (!wait.isZero()) {
            scheduleResume(wait);
            return;
        }
        // Paid in advance, so that the connections of a peer do not all resume at the same moment.
        prepaidNanos = shares.prepay(peer, lastTurnNanos);
        heldBack = false;
        heldBackNanos += shares.nanoTime() - heldBackSinceNanos;
        apply();
    }

    private void apply() {
        Channel open = channel;
        if (open != null) {
            open.config().setAutoRead(callerReady && !heldBack);
        }
    }
}
