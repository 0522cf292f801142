package io.masticfold.core.limit;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.OptionalDouble;

/**
 * Holds the rate limit that one target names in its answers, and the tokens of this gateway's share of it. The newest
 * observation decides, this gateway's or a peer's. Not thread-safe.
 */
public final class TargetRateLimit {

    /** Smallest rate that is kept, so that a target that names zero is asked again now and then. */
    static final double MIN_PER_SECOND = 0.1;

    /** Answers in a row without a limit after which it is lifted: some answers may come from a layer in front. */
    static final int ANSWERS_UNTIL_LIFTED = 2;

    /** Tokens that may be saved up, as the time in which they accrue; at least one token. */
    private static final double MAX_SAVED_SECONDS = 0.25;

    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource time;
    private double limit;
    private long observedNanos;
    private boolean observed;
    private int answersWithout;
    private TargetRateShare share = TargetRateShare.NONE;
    private double tokens;
    private long refilledNanos;

    /** Creates the state of a target that has named no limit. */
    public TargetRateLimit(TimeSource time) {
        this.time = time;
    }

    /** Returns whether the target has named a limit. */
    public boolean limited() {
        return limit > 0;
    }

    /** Returns the limit in requests per second from all gateways together; 0 if there is none. */
    public double limit() {
        return limit;
    }

    /** Returns the monotonic time of the observation that decides, in nanoseconds. */
    public long observedNanos() {
        return observedNanos;
    }

    /**
     * Records an answer of the target.
     *
     * @param named limit that the answer names; empty if it names none
     * @return whether the limit has changed
     */
    public boolean recordAnswer(OptionalDouble named) {
        if (named.isPresent()) {
            answersWithout = 0;
            return observe(Math.max(MIN_PER_SECOND, named.getAsDouble()), time.nanoTime());
        }
        answersWithout++;
        return limited() && answersWithout >= ANSWERS_UNTIL_LIFTED && observe(0, time.nanoTime());
    }

    /**
     * Records what a peer has observed.
     *
     * @param perSecond limit; 0 if the target names none any more
     * @param nanos time of the observation
     * @return whether the limit has changed
     */
    public boolean recordPeer(double perSecond, long nanos) {
        return (!observed || nanos - observedNanos > 0) && observe(perSecond, nanos);
    }

    private boolean observe(double perSecond, long nanos) {
        boolean changed = limit != perSecond;
        limit = perSecond;
        observedNanos = nanos;
        observed = true;
        return changed;
    }

    /**
     * Returns the time until a request may be sent; zero if one may be sent now.
     *
     * @param current current share of this gateway
     */
    public Duration waitTime(TargetRateShare current) {
        if (!limited()) {
            return Duration.ZERO;
        }
        refill(current);
        if (tokens >= 1) {
            return Duration.ZERO;
        }
        // A gateway without a share tells when another one has a token.
        double seconds = current.perSecond() > 0 ? (1 - tokens) / current.perSecond() : 1 / limit;
        return Duration.ofNanos((long) (seconds * NANOS_PER_SECOND) + 1);
    }

    /** Takes a token for a request that is sent. */
    public void recordSend() {
        if (limited()) {
            tokens--;
        }
    }

    /** A gateway that gets its first share, or another one, starts without tokens. */
    private void refill(TargetRateShare current) {
        long now = time.nanoTime();
        if (share.perSecond() == 0) {
            tokens = 0;
        } else {
            double capacity = Math.max(1, share.perSecond() * MAX_SAVED_SECONDS);
            tokens = Math.min(capacity, tokens + (now - refilledNanos) / NANOS_PER_SECOND * share.perSecond());
        }
        share = current;
        refilledNanos = now;
    }
}
