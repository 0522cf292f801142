package io.masticfold.core.rollout;

import java.time.Duration;
import java.util.Map;

/**
 * Decides how an order goes on. The load it answers: a new version that fails or is slow in a part of its responses, at
 * once or later, on one route only or under load, beside an old version that has troubles of its own.
 *
 * <p>The new version gets a small share of the requests for the first part of the time. Its bad responses are compared
 * with those of the old version on the same route and over the same time by Fisher's one-sided exact test. A sound
 * version then gets all requests, so that nothing runs at the old targets when the order is completed.
 */
public final class RolloutPolicy {

    /**
     * Probability with which one test takes a sound version for bad. It is made several times a second on each route;
     * at one in 100,000, a hundred tests of ten routes reject one sound version in a hundred.
     */
    static final double FALSE_ALARM_PROBABILITY = 1e-5;

    /**
     * Probability below which a version is not taken for sound: it gets no more than the limited share, and is rolled
     * back if this is still so at the end. With few responses a bad version does not reach the other probability. The
     * decision is made once, so that one sound version in a thousand is rolled back on a route.
     */
    static final double SUSPICION_PROBABILITY = 1e-3;

    /**
     * Sample that is added to that of the old version if it has hardly answered, for instance because its targets are
     * down. The stated false alarm probability then holds for sound versions with at most one bad response in twenty.
     */
    private static final VersionCounts ASSUMED_OLD = new VersionCounts(20, 19, 1, 0);

    /**
     * Bad responses of the new version, at all gateways, after which it gets no more requests, whether or not the test
     * takes it for bad. Operators bound the requests that are sent after this number.
     */
    static final int MAX_BAD = 50;

    /** Fewest bad responses for a verdict; two may have the same cause. */
    private static final int MIN_BAD = 4;

    /** Ended requests of the new version without which it is not known to be sound. */
    static final int MIN_ENDED = 10;

    /** Part of the duration after which a sound version gets all requests; the rest is for what still runs. */
    static final double MOVE_FRACTION = 0.6;

    /** Part of the duration at which the order ends, with time left to store it and for its news to arrive. */
    static final double END_FRACTION = 0.85;

    /**
     * Part of the duration at which an order without enough responses is rolled back. It is later than the other end,
     * so that a gateway that is cut off from its peers does not decide before those that have responses.
     */
    static final double UNDECIDED_FRACTION = 0.92;

    private RolloutPolicy() {}

    /**
     * Decides.
     *
     * @param elapsed time since the order was first seen
     * @param duration time within which the order has to end
     * @param newCounts counts of the new version by route
     * @param oldCounts counts of the other versions by route
     * @param moved whether nothing runs at other versions any more, at all gateways
     */
    public static RolloutStep decide(
            Duration elapsed,
            Duration duration,
            Map<String, VersionCounts> newCounts,
            Map<String, VersionCounts> oldCounts,
            boolean moved) {
        return decide(elapsed, duration, newCounts, oldCounts, moved, false);
    }

    /**
     * Decides while the new version gets all requests, as {@link #decide}. A suspicion no longer takes the move back:
     * other gateways may complete the order, and the old version has no new responses to compare with.
     */
    public static RolloutStep decideWhileMoving(
            Duration elapsed,
            Duration duration,
            Map<String, VersionCounts> newCounts,
            Map<String, VersionCounts> oldCounts,
            boolean moved) {
        return decide(elapsed, duration, newCounts, oldCounts, moved, true);
    }

    private static RolloutStep decide(
            Duration elapsed,
            Duration duration,
            Map<String, VersionCounts> newCounts,
            Map<String, VersionCounts> oldCounts,
            boolean moved,
            boolean moving) {
        if (isBad(newCounts, oldCounts)) {
            return RolloutStep.ROLL_BACK;
        }
        double fraction = duration.isZero() ? 1 : (double) elapsed.toNanos() / duration.toNanos();
        if (hasReachedMaxBad(newCounts)) {
            return fraction < UNDECIDED_FRACTION ? RolloutStep.STOP : RolloutStep.ROLL_BACK;
        }
        long ended = newCounts.values().stream().mapToLong(VersionCounts::ended).sum();
        if (ended < MIN_ENDED) {
            return fraction < UNDECIDED_FRACTION ? RolloutStep.EXPOSE : RolloutStep.ROLL_BACK;
        }
        if (fraction < MOVE_FRACTION) {
            return RolloutStep.EXPOSE;
        }
        if (!moving && isWorse(newCounts, oldCounts, SUSPICION_PROBABILITY)) {
            return fraction < UNDECIDED_FRACTION ? RolloutStep.EXPOSE : RolloutStep.ROLL_BACK;
        }
        return moved || fraction >= END_FRACTION ? RolloutStep.COMPLETE : RolloutStep.MOVE;
    }

    /**
     * Returns whether the new version gives more bad responses than the old one, on one route or on all together. A
     * route on which the old version has hardly answered counts only with the others.
     *
     * @param newCounts counts of the new version by route
     * @param oldCounts counts of the other versions by route
     */
    public static boolean isBad(Map<String, VersionCounts> newCounts, Map<String, VersionCounts> oldCounts) {
        return isWorse(newCounts, oldCounts, FALSE_ALARM_PROBABILITY);
    }

    private static boolean isWorse(
            Map<String, VersionCounts> newCounts, Map<String, VersionCounts> oldCounts, double probability) {
        VersionCounts allNew = VersionCounts.NONE;
        VersionCounts allOld = VersionCounts.NONE;
        for (Map.Entry<String, VersionCounts> route : newCounts.entrySet()) {
            VersionCounts before = oldCounts.getOrDefault(route.getKey(), VersionCounts.NONE);
            if (before.ended() >= MIN_ENDED && isWorse(route.getValue(), before, probability)) {
                return true;
            }
            allNew = allNew.plus(route.getValue());
            allOld = allOld.plus(before);
        }
        return isWorse(allNew, allOld.ended() < MIN_ENDED ? allOld.plus(ASSUMED_OLD) : allOld, probability);
    }

    /**
     * Returns whether the new version has given so many bad responses that it gets no more requests without a verdict.
     *
     * @param newCounts counts of the new version by route
     */
    public static boolean hasReachedMaxBad(Map<String, VersionCounts> newCounts) {
        return newCounts.values().stream().mapToLong(VersionCounts::bad).sum() >= MAX_BAD;
    }

    private static boolean isWorse(VersionCounts newCounts, VersionCounts oldCounts, double probability) {
        return newCounts.bad() >= MIN_BAD
                && FisherTest.upperTail(newCounts.bad(), newCounts.ended(), oldCounts.bad(), oldCounts.ended())
                        < probability;
    }
}
