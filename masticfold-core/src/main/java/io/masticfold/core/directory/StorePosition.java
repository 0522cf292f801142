package io.masticfold.core.directory;

import java.util.Comparator;

/**
 * Identifies a state of the object store. A store that was restored from a copy gives revisions out again, in a new
 * era; positions are therefore ordered by era first.
 *
 * @param era number of the era; rises with each restore, 0 if the store does not report one
 * @param revision revision of the store within the era
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {

    /** Position before anything was read. */
    public static final StorePosition NONE = new StorePosition(0, 0);

    private static final Comparator<StorePosition> ORDER =
            Comparator.comparingLong(StorePosition::era).thenComparingLong(StorePosition::revision);

    /** Validates the ranges. */
    public StorePosition {
        if (era < 0 || revision < 0) {
            throw new IllegalArgumentException("era and revision must not be negative: " + era + ", " + revision);
        }
    }

    @Override
    public int compareTo(StorePosition other) {
        return ORDER.compare(this, other);
    }

    /** Returns whether this state is newer than another. */
    public boolean isAfter(StorePosition other) {
        return compareTo(other) > 0;
    }

    /** Returns whether the store was restored between another known state and this one. */
    public boolean restoredSince(StorePosition other) {
        return !other.equals(NONE) && era > other.era;
    }
}
