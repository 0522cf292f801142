package io.masticfold.entry;

import io.masticfold.core.routing.RoutingStrategy;

/**
 * Chooses the policies of an entry. The default is what production runs; others serve comparisons.
 *
 * @param routing how targets are chosen
 * @param sheds whether load is shed by worth per cost
 */
public record EntryOptions(RoutingStrategy routing, boolean sheds) {

    /** The policies production runs. */
    public static final EntryOptions DEFAULT = new EntryOptions(RoutingStrategy.EXPECTED_TIME, true);
}
