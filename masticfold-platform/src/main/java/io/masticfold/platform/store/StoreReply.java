package io.masticfold.platform.store;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Result of an operation on a single object. */
public sealed interface StoreReply {

    /**
     * The read found the object.
     *
     * @param object the object that was read
     */
    record Found(StoredObject object) implements StoreReply {}

    /** The object does not exist. */
    record Absent() implements StoreReply {}

    /**
     * The write took effect.
     *
     * @param version new version of the object
     */
    record Written(long version) implements StoreReply {}

    /**
     * The write had no effect because the object does not have the expected version.
     *
     * @param current current version of the object, null if it does not exist
     */
    record Conflict(@Nullable StoredObject current) implements StoreReply {}

    /**
     * The store rejected the call permanently; the call had no effect.
     *
     * @param status HTTP status
     * @param message body of the response
     */
    record Refused(int status, String message) implements StoreReply {}

    /**
     * The call could not be made or was rejected temporarily; it had no effect.
     *
     * @param retryAfter delay after which a retry may succeed
     * @param reason why the call failed
     */
    record Unavailable(Duration retryAfter, String reason) implements StoreReply {}

    /**
     * The response was lost, so it is unknown whether the call took effect.
     *
     * @param reason why the outcome is unknown
     */
    record Lost(String reason) implements StoreReply {}
}
