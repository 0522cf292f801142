package io.masticfold.core.limit;

import io.masticfold.core.routing.RendezvousHashing;
import java.util.Collection;

/**
 * The part that one gateway may use of a rate that a target names for all gateways together. Only a few gateways send
 * to a target with a low rate, since a part of it that comes round once in many seconds would be spent by all of them
 * in the same second.
 *
 * @param perSecond requests per second that this gateway may send; 0 if it sends none
 */
public record TargetRateShare(double perSecond) {

    /** Gateways that may send to a target in addition to one for each request per second of its limit. */
    static final int ADDITIONAL_SENDERS = 2;

    /** Used while a gateway sends nothing to a target. */
    public static final TargetRateShare NONE = new TargetRateShare(0);

    /** Validates the range. */
    public TargetRateShare {
        if (!(perSecond >= 0)) {
            throw new IllegalArgumentException("perSecond must not be negative: " + perSecond);
        }
    }

    /**
     * Returns the share of a gateway.
     *
     * @param limit requests per second that the target takes from all gateways together
     * @param target identifies the target
     * @param own name of this gateway
     * @param reachable names of the reachable peers
     * @param known number of gateways that are known, reachable or not
     */
    public static TargetRateShare of(double limit, String target, String own, Collection<String> reachable, int known) {
        int gateways = Math.max(known, reachable.size() + 1);
        int senders = (int) Math.min(gateways, Math.floor(limit) + ADDITIONAL_SENDERS);
        long key = RendezvousHashing.key(target);
        long weight = RendezvousHashing.weight(key, own);
        long before = reachable.stream()
                .filter(peer -> RendezvousHashing.weight(key, peer) > weight)
                .count();
        return before < senders ? new TargetRateShare(limit / senders) : NONE;
    }
}
