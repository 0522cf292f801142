package io.masticfold.platform.store;

import java.time.Duration;
import java.util.List;

/** Answers a list or a watch. */
public sealed interface PageReply {

    /**
     * Answers with the objects changed since a revision.
     *
     * @param revision revision of the store up to which the page is complete
     * @param objects newest version of each changed object, tombstones included
     */
    record Page(long revision, List<StoredObject> objects) implements PageReply {

        /** Copies the objects. */
        public Page {
            objects = List.copyOf(objects);
        }
    }

    /** Answers that the history since the revision is gone and a full list is needed. */
    record Compacted() implements PageReply {}

    /**
     * Answers that nothing could be read.
     *
     * @param retryAfter time after which the store may be back
     * @param reason what prevented it
     */
    record Unavailable(Duration retryAfter, String reason) implements PageReply {}
}
