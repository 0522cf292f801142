package io.masticfold.platform.store;

import java.time.Duration;
import java.util.Collection;
import java.util.function.Consumer;

/**
 * Asynchronous access to the object API. Every operation calls its reply consumer exactly once, within the timeout, on
 * a thread of the store. Thread-safe.
 */
public interface ObjectStore {

    /** Returns whether the store is believed reachable; if false, calls fail immediately. */
    boolean available();

    /** Returns the delay after which a retry may succeed; zero while the store is available. */
    Duration retryAfter();

    /**
     * Reads an object.
     *
     * @param reply receives {@code Found}, {@code Absent}, {@code Refused}, {@code Unavailable} or {@code Lost}
     */
    void get(String kind, String name, Duration timeout, Consumer<StoreReply> reply);

    /**
     * Creates or updates an object if it has the expected version.
     *
     * @param expectedVersion expected current version, 0 to create the object
     * @param changeId id of the change, which shows after a lost response whether the change was applied
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
     * Deletes an object if it has the expected version.
     *
     * @param expectedVersion expected current version
     * @param reply receives {@code Written}, {@code Absent}, {@code Conflict}, {@code Refused}, {@code Unavailable} or
     *     {@code Lost}
     */
    void delete(String kind, String name, long expectedVersion, Duration timeout, Consumer<StoreReply> reply);

    /**
     * Lists the objects of the given kinds that changed since a revision.
     *
     * @param kinds codes of the kinds
     * @param since last known revision, 0 for all objects
     */
    void list(Collection<String> kinds, long since, Duration timeout, Consumer<PageReply> reply);

    /**
     * Waits for a change to an object of the given kinds since a revision (long poll).
     *
     * @param kinds codes of the kinds
     * @param since last known revision
     * @param wait maximum time that the store waits; an empty page after that time is not an error
     */
    void watch(Collection<String> kinds, long since, Duration wait, Consumer<PageReply> reply);
}
