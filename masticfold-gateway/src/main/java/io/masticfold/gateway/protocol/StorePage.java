package io.masticfold.gateway.protocol;

import java.util.List;

/**
 * Holds a page of objects or of changes.
 *
 * @param objects objects in order
 * @param revision revision of the store that the page reflects
 * @param more whether further pages follow after the last name
 */
public record StorePage(List<StoreObject> objects, long revision, boolean more) {

    /** Copies the list. */
    public StorePage {
        objects = List.copyOf(objects);
    }
}
