package io.masticfold.gateway.http;

import java.util.ArrayDeque;
import java.util.Deque;
import org.jspecify.annotations.Nullable;

/** Holds the requests of one connection that wait, and the one being served, with the memory of their bodies. */
final class PipelinedRequests {

    /** Maximum number of pipelined requests that wait for the one being served. */
    static final int MAX_WAITING = 16;

    private final Deque<PendingRequest> waiting = new ArrayDeque<>();
    private @Nullable PendingRequest served;

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    boolean full() {
        return waiting.size() >= MAX_WAITING;
    }

    void add(PendingRequest pending) {
        waiting.add(pending);
    }

    /** Returns the next request, which is served from now on; null if none waits. */
    @Nullable
    PendingRequest next() {
        served = waiting.poll();
        return served;
    }

    /** Returns the memory of the request being served. */
    void releaseServed() {
        PendingRequest answered = served;
        served = null;
        if (answered != null) {
            answered.memory().close();
        }
    }

    /** Gives up the requests that wait. */
    void releaseWaiting() {
        waiting.forEach(pending -> pending.memory().close());
        waiting.clear();
    }
}
