package io.masticfold.core.membership;

import java.time.Duration;

/**
 * Holds the settings of {@link WatchElection}.
 *
 * @param slots leases per region, which is the number of entries that watch
 * @param staleAfter age of the last confirmation at which an entry starts to contend
 * @param spread longest random delay added, so that entries do not contend together
 * @param contendFor time an entry contends for one slot before it tries the next or stands by
 * @param lookEvery mean time between two looks of a standing-by entry at a slot whose holder may have gone
 */
public record WatchElectionSettings(
        int slots, Duration staleAfter, Duration spread, Duration contendFor, Duration lookEvery) {

    /** Watchers of a region: one is left when a VM and an availability zone fail together. */
    private static final int SLOTS = 3;

    /** Age of the last confirmation, under the 3 s within which a change has to be in force. */
    private static final Duration STALE_AFTER = Duration.ofMillis(2_500);

    /** Random delay: spreads the entries of a region over some hundred claims a second at most. */
    private static final Duration SPREAD = Duration.ofSeconds(2);

    /** Time for one slot; chosen, not measured: a holder that has died is found out within it. */
    private static final Duration CONTEND_FOR = Duration.ofSeconds(15);

    /** Time between two looks: eleven reads a second of 1,900 entries. */
    private static final Duration LOOK_EVERY = Duration.ofMinutes(3);

    /**
     * The settings used unless others are given. Three watchers survive the loss of a VM and of an availability zone
     * without a pause; 1,900 entries that look every three minutes make eleven reads a second.
     */
    public static final WatchElectionSettings DEFAULT =
            new WatchElectionSettings(SLOTS, STALE_AFTER, SPREAD, CONTEND_FOR, LOOK_EVERY);

    /** Checks the ranges. */
    public WatchElectionSettings {
        if (slots < 1) {
            throw new IllegalArgumentException("slots must be at least 1: " + slots);
        }
        if (staleAfter.isNegative() || staleAfter.isZero() || lookEvery.compareTo(contendFor) <= 0) {
            throw new IllegalArgumentException("staleAfter must be positive and lookEvery longer than contendFor: "
                    + staleAfter + ", " + lookEvery + ", " + contendFor);
        }
    }
}
