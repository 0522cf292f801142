package io.masticfold.gateway.http;

import io.netty.channel.Channel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;

/**
 * Decides when a connection to a server is read: while the caller takes what arrives, and while the server has not had
 * more than its share of the event loop's time. Used on the event loop of the connection only.
 */
final class ReadThrottle {

    private static final long NO_TURN = Long.MIN_VALUE;

    private final HttpClient owner;
    private final InetSocketAddress address;
    private final LongSupplier processorNanos;
    private @Nullable Channel channel;
    private long turnStartNanos = NO_TURN;
    private long lastTurnNanos;
    private long prepaidNanos;
    private boolean heldBack;
    private boolean callerReady = true;

    /**
     * Creates the throttle of one connection.
     *
     * @param processorNanos processor time that the event loop's thread has used, in nanoseconds; the time of day would
     *     charge a server for turns in which the thread waits for a processor
     */
    ReadThrottle(HttpClient owner, InetSocketAddress address, LongSupplier processorNanos) {
        this.owner = owner;
        this.address = address;
        this.processorNanos = processorNanos;
    }

    /** Begins to apply to the open connection. */
    void opened(Channel open) {
        channel = open;
        holdBack();
    }

    void setCallerReady(boolean ready) {
        callerReady = ready;
        apply();
    }

    /** Called for all bytes that the server has sent, before they are decoded. */
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
        owner.readShares().charge(address, lastTurnNanos, prepaidNanos);
        prepaidNanos = 0;
        holdBack();
    }

    private void holdBack() {
        Duration wait = owner.waitBeforeRead(address);
        if (heldBack || wait.isZero()) {
            return;
        }
        heldBack = true;
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
        Duration wait = owner.waitBeforeRead(address);
        if (!wait.isZero()) {
            scheduleResume(wait);
            return;
        }
        // Paid in advance, so that the connections of a server do not all resume at the same moment.
        prepaidNanos = owner.readShares().prepay(address, lastTurnNanos);
        heldBack = false;
        apply();
    }

    private void apply() {
        Channel open = channel;
        if (open != null) {
            open.config().setAutoRead(callerReady && !heldBack);
        }
    }
}
