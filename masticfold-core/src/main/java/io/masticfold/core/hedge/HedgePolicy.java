package io.masticfold.core.hedge;

import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.retry.SlidingWindowRetryBudget;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Optional;

/**
 * Decides for one route when a request is sent to a second target because its answer is late. The load it answers: a
 * few targets answer much later than the others of their pool, while the pool has room. If the whole pool is slow, the
 * delay grows with its answers and the limit ends what is left. Used by one thread.
 */
public final class HedgePolicy {

    /** Share of answers before which no second send is made; later ones are the slowest that it is meant for. */
    static final double DELAY_QUANTILE = 0.95;

    /** Share of the pool's slots in use above which a second send would take the place of a first one. */
    static final double MAX_POOL_LOAD = 0.5;

    /** A second send needs the usual time itself; with less than this multiple of it left, it comes too late. */
    static final double MIN_REMAINING_FACTOR = 0.5;

    private final RecentAnswerTimes answerTimes;
    private final SlidingWindowRetryBudget limit;

    /**
     * Creates a policy without knowledge, which permits no second sends until there are enough answers.
     *
     * @param ratio largest share of sends that get a second one; each gateway keeps to it for its own sends
     * @param window length of the window in which the share is kept
     */
    public HedgePolicy(TimeSource time, double ratio, Duration window) {
        if (!(ratio > 0 && ratio <= 1)) {
            throw new IllegalArgumentException("ratio must be above 0 and at most 1: " + ratio);
        }
        this.answerTimes = new RecentAnswerTimes(time, window);
        this.limit = new SlidingWindowRetryBudget(time, window, ratio, () -> 0);
    }

    /** Records the first send of a request. */
    public void recordSend() {
        limit.deposit();
    }

    /** Records the time from a send to its complete answer. */
    public void recordAnswer(Duration answerTime) {
        answerTimes.record(answerTime);
    }

    /** Returns the time after a send at which a second one is due; empty if there are too few answers. */
    public Optional<Duration> delay() {
        return answerTimes.quantile(DELAY_QUANTILE);
    }

    /**
     * Returns whether a second send may be made now, and charges the limit and the retry budget if it may.
     *
     * @param retries retry budget of the pool
     */
    public boolean permit(HedgeConditions conditions, RetryBudget retries) {
        Optional<Duration> usual = delay();
        return usual.isPresent()
                && !conditions.stopping()
                && !conditions.suspected()
                && conditions.sends() == 1
                && conditions.maxAttempts() > 1
                && conditions.inFlight() < MAX_POOL_LOAD * conditions.slots()
                && conditions.remaining().toNanos()
                        > MIN_REMAINING_FACTOR * usual.get().toNanos()
                && limit.remaining() >= 1
                && retries.tryWithdraw()
                && limit.tryWithdraw();
    }
}
