package io.masticfold.core.rollout;

/**
 * Requests of one route at one software version.
 *
 * @param sent requests sent
 * @param answered sound answers
 * @param failed failures, including targets that ended
 * @param slow answers that took several times as long as is usual on the route
 */
public record VersionCounts(long sent, long answered, long failed, long slow) {

    /** No requests. */
    public static final VersionCounts NONE = new VersionCounts(0, 0, 0, 0);

    /** Returns the sum with other requests. */
    public VersionCounts plus(VersionCounts other) {
        return new VersionCounts(
                sent + other.sent, answered + other.answered, failed + other.failed, slow + other.slow);
    }

    /** Returns the requests since earlier counts. */
    public VersionCounts minus(VersionCounts earlier) {
        return new VersionCounts(
                Math.max(0, sent - earlier.sent),
                Math.max(0, answered - earlier.answered),
                Math.max(0, failed - earlier.failed),
                Math.max(0, slow - earlier.slow));
    }

    /** Returns the number of bad responses. */
    public long bad() {
        return failed + slow;
    }

    /** Returns the number of requests that have ended. */
    public long ended() {
        return answered + failed + slow;
    }
}
