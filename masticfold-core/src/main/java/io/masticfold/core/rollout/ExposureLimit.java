package io.masticfold.core.rollout;

/**
 * Limits the requests that one gateway sends to a version that is not known to be sound. Each gateway keeps to the
 * share for its own requests and to its part of the slack, so that the sum stays within the limit of all without any
 * exchange. Used by one thread.
 */
public final class ExposureLimit {

    /** Part of the limit that is used; requests that were sent to a pool may arrive there or not. */
    static final double USED_FRACTION = 0.8;

    /** Largest share while the slack lasts: the responses of both versions have to be compared over the same time. */
    static final double MAX_SHARE = 0.25;

    private final double share;
    private final double slack;
    private long total;
    private long exposed;

    /**
     * Creates a limit without requests.
     *
     * @param withSlack whether this gateway may use its part of the slack
     */
    public ExposureLimit(RolloutSettings settings, boolean withSlack) {
        this.share = settings.exposeShare();
        this.slack = withSlack ? settings.exposeSlack() : 0;
    }

    /**
     * Returns whether the next request may go to the new version.
     *
     * @param gateways number of gateways that share the slack
     */
    public boolean permits(int gateways) {
        return exposed + 1 <= MAX_SHARE * (total + 1)
                && exposed + 1 <= USED_FRACTION * (share * (total + 1) + slack / Math.max(1, gateways));
    }

    /** Records a request that is sent to the pool. */
    public void record(boolean toNewVersion) {
        total++;
        exposed += toNewVersion ? 1 : 0;
    }
}
