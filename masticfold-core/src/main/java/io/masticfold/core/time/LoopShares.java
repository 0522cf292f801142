package io.masticfold.core.time;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Bounds the share of an event loop's time that the input of peers may take in long turns: together half of the time,
 * of which each such peer gets the same part. Short turns, as ordinary answers take, are not counted. Not thread-safe.
 *
 * @param <K> key of a peer
 */
public final class LoopShares<K> {

    /** Time that a peer may use at once, and how far it may get ahead of its share. */
    static final Duration BURST = Duration.ofMillis(100);

    /** Turns that are shorter are free; one read of ordinary answers takes a tenth of it. */
    static final Duration SHORT_TURN = Duration.ofNanos(500_000);

    /** Largest charge for one turn; a longer one was held up by something else, such as a pause of the process. */
    static final Duration MAX_CHARGE = Duration.ofMillis(20);

    /** Largest use that is counted, so that no peer is held back for long after many turns at one moment. */
    private static final Duration MAX_USED = BURST.multipliedBy(2);

    /** The peers with long turns get one part of this number together. */
    private static final int DIVISOR = 2;

    private final TimeSource time;
    private final Map<K, Account> accounts = new HashMap<>();

    /** Creates an account for each peer, with nothing used. */
    public LoopShares(TimeSource time) {
        this.time = time;
    }

    /**
     * Charges a peer for a turn that is about to begin and will take about as long as its last one.
     *
     * @param expectedNanos expected length of the turn, in nanoseconds
     * @return the charge, in nanoseconds, for {@link #charge}
     */
    public long prepay(K peer, long expectedNanos) {
        long cost = cost(expectedNanos);
        add(peer, cost);
        return cost;
    }

    /**
     * Charges a peer for a turn.
     *
     * @param turnNanos length of the turn, in nanoseconds
     * @param prepaidNanos what {@link #prepay} has charged for it; zero if it was not called
     */
    public void charge(K peer, long turnNanos, long prepaidNanos) {
        add(peer, cost(turnNanos) - prepaidNanos);
    }

    private static long cost(long turnNanos) {
        return isFree(turnNanos) ? 0 : Math.min(turnNanos, MAX_CHARGE.toNanos());
    }

    private void add(K peer, long nanos) {
        if (nanos == 0) {
            return;
        }
        long now = time.nanoTime();
        Account account = accounts.computeIfAbsent(peer, _peer -> new Account(now));
        account.settle(now, divisor());
        account.usedNanos = Math.max(0, Math.min(MAX_USED.toNanos(), account.usedNanos + nanos));
    }

    /** Returns the time until more input of the peer is to be read; zero if it may be read now. */
    public Duration waitTime(K peer) {
        Account account = accounts.get(peer);
        if (account == null) {
            return Duration.ZERO;
        }
        account.settle(time.nanoTime(), divisor());
        return account.excessNanos() <= 0 ? Duration.ZERO : Duration.ofNanos(account.excessNanos() * divisor());
    }

    /** Returns the number of peers that have used more than a burst and their share. */
    public int heldBack() {
        return heldBack(_peer -> true);
    }

    /** Returns the number of peers of some kind that have used more than a burst and their share. */
    public int heldBack(Predicate<? super K> kind) {
        return (int) accounts.entrySet().stream()
                .filter(entry -> entry.getValue().excessNanos() > 0 && kind.test(entry.getKey()))
                .count();
    }

    /** Returns whether a turn is so short that it is not charged. */
    public static boolean isFree(long turnNanos) {
        return turnNanos < SHORT_TURN.toNanos();
    }

    /** Forgets the peers that have had no long turns for a while. */
    public void forgetIdle() {
        long now = time.nanoTime();
        int divisor = divisor();
        accounts.values().removeIf(account -> {
            account.settle(now, divisor);
            return account.usedNanos == 0;
        });
    }

    private int divisor() {
        return DIVISOR * Math.max(1, accounts.size());
    }

    private static final class Account {

        private long usedNanos;
        private long settledNanos;

        Account(long nowNanos) {
            this.settledNanos = nowNanos;
        }

        void settle(long nowNanos, int divisor) {
            usedNanos = Math.max(0, usedNanos - (nowNanos - settledNanos) / divisor);
            settledNanos = nowNanos;
        }

        long excessNanos() {
            return usedNanos - BURST.toNanos();
        }
    }
}
