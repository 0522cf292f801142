package io.masticfold.platform.store;

import java.time.Duration;
import java.util.Collection;
import java.util.function.Consumer;

/**
 * Gives access to the object API. Every operation answers exactly once, within its timeout, on a thread of the store.
 * Safe for use by several threads.
 */
public interface ObjectStore {

    /** Returns whether the last operations reached the store; false means a call would fail at once. */
    boolean available();

    /** Returns the time after which the store may be back; zero while it is available. */
    Duration retryAfter();

    /**
     * Reads an object.
     *
     * @param reply receives {@code Found}, {@code Absent}, {@code Refused}, {@code Unavailable} or {@code Lost}
     */
    void get(String kind, String name, Duration timeout, Consumer<StoreReply> reply);

    /**
     * Writes an object by conditional update.
     *
     * @param expectedVersion version the writer has read, 0 to create
     * @param changeId id of the change, by which a lost answer is settled
     * @param spec the specification as JSON text
     * @param reply receives {@code Written}, {@code Conflict}, {@code Refused}, {@code Unavailable} or {@code Lost}
     */
    void put(
            String kind,
            String name,
            long expectedVersion,
            String changeId,
            String spec,
            Duration timeout,
            Consumer<StoreReply> reply);

    /**
     * Deletes an object by conditional update.
     *
     * @param expectedVersion version the writer has read
     * @param reply receives {@code Written}, {@code Absent}, {@code Conflict}, {@code Refused}, {@code Unavailable} or
     *     {@code Lost}
     */
    void delete(String kind, String name, long expectedVersion, Duration timeout, Consumer<StoreReply> reply);

    /**
     * Lists the objects of some kinds changed since a revision.
     *
     * @param kinds codes of the kinds
     * @param since revision already seen, 0 for all objects
     */
    void list(Collection<String> kinds, long since, Duration timeout, Consumer<PageReply> reply);

    /**
     * Waits for a change of some kinds since a revision.
     *
     * @param kinds codes of the kinds
     * @param since revision already seen
     * @param wait longest wait at the store; an answer without objects after that time is no fault
     */
    void watch(Collection<String> kinds, long since, Duration wait, Consumer<PageReply> reply);
}
