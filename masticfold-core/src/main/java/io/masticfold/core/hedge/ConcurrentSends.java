package io.masticfold.core.hedge;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Sends of one request that are in progress, at most two. The first complete answer ends the others; a failure ends the
 * request only if no other send is left. Used by one thread.
 *
 * @param <S> a send
 */
public final class ConcurrentSends<S> {

    /** One target is hedged against by one other; a third send would only add load. */
    private static final int MAX_SENDS = 2;

    private final List<S> active = new ArrayList<>(MAX_SENDS);

    /**
     * Adds a send.
     *
     * @throws IllegalStateException if two are in progress
     */
    public void add(S send) {
        if (active.size() == MAX_SENDS) {
            throw new IllegalStateException("two sends are in progress");
        }
        active.add(send);
    }

    /** Returns the send that began last; empty if none is in progress. */
    public Optional<S> latest() {
        return active.isEmpty() ? Optional.empty() : Optional.of(active.get(active.size() - 1));
    }

    /** Returns whether no send is in progress. */
    public boolean isEmpty() {
        return active.isEmpty();
    }

    /** Returns the sends in progress. */
    public List<S> all() {
        return List.copyOf(active);
    }

    /** Returns whether a send is in progress. */
    public boolean contains(S send) {
        return active.contains(send);
    }

    /** Removes a send that has failed; returns whether another is in progress, whose answer is awaited. */
    public boolean failed(S send) {
        active.remove(send);
        return !active.isEmpty();
    }

    /** Removes all sends; returns those to be cancelled, which are all but the one whose answer is delivered. */
    public List<S> answered(S send) {
        active.remove(send);
        return removeAll();
    }

    /** Removes and returns all sends, since the request ends without an answer. */
    public List<S> removeAll() {
        List<S> removed = List.copyOf(active);
        active.clear();
        return removed;
    }
}
