package io.masticfold.core.membership;

import java.time.Duration;

/**
 * Holds the settings of {@link WatchElection}.
 *
 * @param slots number of leases per region, which limits the number of entries that watch
 * @param staleAfter age of the last confirmation after which an entry starts to contend
 * @param maxJitter maximum random delay added to {@code staleAfter}, so that entries do not contend at the same time
 * @param contentionPeriod time for which an entry contends for one slot before it tries the next one or stands by
 * @param vacancyCheckInterval mean interval at which an entry on standby checks whether a slot has become vacant
 */
public record WatchElectionSettings(
        int slots, Duration staleAfter, Duration maxJitter, Duration contentionPeriod, Duration vacancyCheckInterval) {

    /** One watcher of a region is left if a VM and an availability zone fail at the same time. */
    private static final int SLOTS = 3;

    /** Less than the 3 s within which a change has to be in force. */
    private static final Duration STALE_AFTER = Duration.ofMillis(2_500);

    /** Limits the entries of a region to a few hundred lease claims per second. */
    private static final Duration MAX_JITTER = Duration.ofSeconds(2);

    /** The failure of the holder of a slot is detected within this time. */
    private static final Duration CONTENTION_PERIOD = Duration.ofSeconds(15);

    /** 1,900 entries make eleven reads per second at this interval. */
    private static final Duration VACANCY_CHECK_INTERVAL = Duration.ofMinutes(3);

    /**
     * The default settings. With three watchers, the loss of a VM and of an availability zone does not interrupt the
     * watching; 1,900 entries that check for vacant slots every three minutes make eleven reads per second.
     */
    public static final WatchElectionSettings DEFAULT =
            new WatchElectionSettings(SLOTS, STALE_AFTER, MAX_JITTER, CONTENTION_PERIOD, VACANCY_CHECK_INTERVAL);

    /** Validates the settings. */
    public WatchElectionSettings {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1: " + slots);
        }
        if (staleAfter.isNegative() || staleAfter.isZero() || vacancyCheckInterval.compareTo(contentionPeriod) <= 0) {
            throw new IllegalArgumentException(
                    "staleAfter must be positive and vacancyCheckInterval longer than contentionPeriod: " + staleAfter
                            + ", " + vacancyCheckInterval + ", " + contentionPeriod);
        }
    }
}
