package io.masticfold.core.claim;

import java.time.Duration;
import java.util.function.Consumer;

/** Stores claims in the object API. Every operation replies exactly once, within its timeout. */
public interface ClaimStore {

    /** Returns whether the last operations reached the store; if false, an operation would fail immediately. */
    boolean available();

    /** Returns the time after which the store may be available again; zero while it is available. */
    Duration retryAfter();

    /**
     * Reads a claim.
     *
     * @param timeout time after which the reply is {@link ClaimReply.Unavailable}
     * @param reply receives {@code Stored}, {@code Absent} or {@code Unavailable}
     */
    void read(ClaimKey key, Duration timeout, Consumer<ClaimReply> reply);

    /**
     * Writes a claim if its stored version is the expected one.
     *
     * @param expectedVersion version that the writer has read, 0 to create the claim
     * @param timeout time after which the reply is {@link ClaimReply.Lost}
     * @param reply receives {@code Stored}, {@code Conflict}, {@code Unavailable} or {@code Lost}
     */
    void write(ClaimKey key, long expectedVersion, Claim claim, Duration timeout, Consumer<ClaimReply> reply);
}
