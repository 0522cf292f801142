package io.masticfold.gateway.http;

import io.masticfold.core.time.LoopShares;
import io.masticfold.core.time.TimeSource;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;

/**
 * Accounts of the event loop's time that the input of servers and callers takes. Both are in one account, so that they
 * get half of the time together. Used on one event loop only.
 */
public final class ReadShares {

    private final TimeSource time;
    private final LoopShares<Object> shares;
    private final Set<Object> neverHeldBack = new HashSet<>();

    /** Creates accounts with nothing used. */
    public ReadShares(TimeSource time) {
        this.time = time;
        this.shares = new LoopShares<>(time);
    }

    /**
     * Returns the key of the account of a caller: its address without the port, so that many connections share one
     * account.
     */
    static Object callerKey(SocketAddress remote) {
        return remote instanceof InetSocketAddress address && address.getAddress() != null
                ? address.getAddress()
                : InetAddress.getLoopbackAddress();
    }

    void neverHoldBack(InetSocketAddress server) {
        neverHeldBack.add(server);
    }

    long prepay(Object peer, long expectedNanos) {
        return shares.prepay(peer, expectedNanos);
    }

    void charge(Object peer, long turnNanos, long prepaidNanos) {
        shares.charge(peer, turnNanos, prepaidNanos);
    }

    Duration waitBeforeRead(Object peer) {
        return neverHeldBack.contains(peer) ? Duration.ZERO : shares.waitTime(peer);
    }

    long nanoTime() {
        return time.nanoTime();
    }

    /** Returns the number of servers whose responses are read more slowly than they come. */
    public int heldBackServers() {
        return shares.heldBack(InetSocketAddress.class::isInstance);
    }

    /** Returns the number of caller addresses whose long turns have used more than their share. */
    public int heldBackCallers() {
        return shares.heldBack(InetAddress.class::isInstance);
    }

    void forgetIdle() {
        shares.forgetIdle();
    }
}
