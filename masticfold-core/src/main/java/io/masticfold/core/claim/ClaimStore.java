package io.masticfold.core.claim;

import java.time.Duration;
import java.util.function.Consumer;

/** Keeps claims in the object API. Every operation answers exactly once, within its timeout. */
public interface ClaimStore {

    /** Returns whether the last operations reached the store; false means an operation would fail at once. */
    boolean available();

    /** Returns the time after which the store may be back; zero while it is available. */
    Duration retryAfter();

    /**
     * Reads a claim.
     *
     * @param timeout longest wait; an answer later than this counts as {@link ClaimReply.Unavailable}
     * @param reply receives {@code Found}, {@code Absent} or {@code Unavailable}
     */
    void read(ClaimKey key, Duration timeout, Consumer<ClaimReply> reply);

    /**
     * Writes a claim by conditional update.
     *
     * @param expectedVersion version the writer has read, 0 to create
     * @param timeout longest wait; an answer later than this counts as {@link ClaimReply.Lost}
     * @param reply receives {@code Found}, {@code Conflict}, {@code Unavailable} or {@code Lost}
     */
    void write(ClaimKey key, long expectedVersion, Claim claim, Duration timeout, Consumer<ClaimReply> reply);
}
