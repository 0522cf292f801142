package io.masticfold.platform.store;

import java.time.Duration;
import org.jspecify.annotations.Nullable;

/** Answers an operation on one object. */
public sealed interface StoreReply {

    /**
     * Answers a read that found the object.
     *
     * @param object the object
     */
    record Found(StoredObject object) implements StoreReply {}

    /** Answers a read that found nothing. */
    record Absent() implements StoreReply {}

    /**
     * Answers a write that took effect.
     *
     * @param version the new version
     */
    record Written(long version) implements StoreReply {}

    /**
     * Answers a write that met another version; the write had no effect.
     *
     * @param current the object the store has, null if it has none
     */
    record Conflict(@Nullable StoredObject current) implements StoreReply {}

    /**
     * Answers a call that the store will never accept; it had no effect.
     *
     * @param status HTTP status
     * @param message body of the answer
     */
    record Refused(int status, String message) implements StoreReply {}

    /**
     * Answers a call that certainly had no effect.
     *
     * @param retryAfter time after which the store may be back
     * @param reason what prevented it
     */
    record Unavailable(Duration retryAfter, String reason) implements StoreReply {}

    /**
     * Answers a call whose effect is not known.
     *
     * @param reason what happened
     */
    record Lost(String reason) implements StoreReply {}
}
