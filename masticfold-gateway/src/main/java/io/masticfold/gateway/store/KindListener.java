package io.masticfold.gateway.store;

import io.masticfold.gateway.protocol.StoreObject;
import java.util.List;

/** Receives the objects of one kind as they change. */
public interface KindListener {

    /**
     * Receives the complete list of objects.
     *
     * @param revision revision of the store that the list reflects
     */
    void listed(List<StoreObject> objects, long revision);

    /**
     * Receives changed and deleted objects in the order of their changes.
     *
     * @param revision revision of the store up to which all changes are known
     */
    void changed(List<StoreObject> objects, long revision);

    /** A call failed; what is known may be out of date. */
    void failed(String detail);

    /** A call succeeded; what is known was up to date when it was answered. */
    void answered();
}
