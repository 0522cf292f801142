package io.masticfold.gateway.store;

import io.masticfold.gateway.protocol.StoreObject;
import java.time.Duration;
import java.util.List;

/** Receives the objects of one kind and their changes. */
public interface KindListener {

    /**
     * Called with the complete list of objects.
     *
     * @param revision store revision of the list
     * @param restored whether the store was restored from a copy since the last list
     */
    void listed(List<StoreObject> objects, long revision, boolean restored);

    /**
     * Called with changed and deleted objects, in the order of the changes.
     *
     * @param revision store revision up to which all changes are known
     */
    void changed(List<StoreObject> objects, long revision);

    /**
     * Called when a call to the store failed; the known objects may be outdated.
     *
     * @param silence time since the store last answered if it did not answer the call; zero if it refused the call
     */
    void callFailed(String detail, Duration silence);

    /** Called when a call to the store succeeded; the known objects were up to date at the time of the response. */
    void callSucceeded();
}
