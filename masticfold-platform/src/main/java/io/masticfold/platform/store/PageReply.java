package io.masticfold.platform.store;

import java.time.Duration;
import java.util.List;

/** Result of a list or watch request. */
public sealed interface PageReply {

    /**
     * The objects that changed since the requested revision.
     *
     * @param revision store revision up to which the page includes all changes
     * @param objects latest version of each changed object, including tombstones
     */
    record Page(long revision, List<StoredObject> objects) implements PageReply {

        /** Copies the objects. */
        public Page {
            objects = List.copyOf(objects);
        }
    }

    /** The history since the requested revision was compacted, so a full list is needed. */
    record Compacted() implements PageReply {}

    /**
     * The request failed.
     *
     * @param retryAfter delay after which a retry may succeed
     * @param reason why the request failed
     */
    record Unavailable(Duration retryAfter, String reason) implements PageReply {}
}
