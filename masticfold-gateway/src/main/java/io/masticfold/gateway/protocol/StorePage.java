package io.masticfold.gateway.protocol;

import java.util.List;

/**
 * Holds a page of a list of objects, or a batch of changes.
 *
 * @param objects objects in the order of the store
 * @param revision revision of the store that the page reflects
 * @param more whether a further page follows, after the name of the last object
 */
public record StorePage(List<StoreObject> objects, long revision, boolean more) {

    /** Copies the list. */
    public StorePage {
        objects = List.copyOf(objects);
    }
}
