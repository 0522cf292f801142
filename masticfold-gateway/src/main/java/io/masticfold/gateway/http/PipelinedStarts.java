package io.masticfold.gateway.http;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/**
 * Starts pipelined requests that have waited for the response before them. Tasks that an event loop is given within a
 * turn run in the same turn, so that many connections with pipelined requests would hold up the reads of all others;
 * the starts of a turn are therefore limited by time, and the rest follows after the next reads. Used on one event
 * loop only.
 */
final class PipelinedStarts {

    /** Time after which a turn ends; a sound request takes about ten turns and has to be served meanwhile. */
    private static final Duration MAX_TURN = Duration.ofMillis(5);

    private final Deque<Runnable> due = new ArrayDeque<>();
    private boolean scheduled;

    /** Adds the start of a request behind those of other connections. */
    void add(EventExecutor loop, Runnable start) {
        due.add(start);
        schedule(loop);
    }

    private void schedule(EventExecutor loop) {
        if (!scheduled && !due.isEmpty()) {
            scheduled = true;
            loop.schedule(() -> run(loop), 0, TimeUnit.NANOSECONDS);
        }
    }

    private void run(EventExecutor loop) {
        scheduled = false;
        long beganNanos = ProcessorTime.ofCurrentThread();
        try {
            // Requests that become due meanwhile, since their predecessors were answered at once, wait for the next
            // turn.
            for (int left = due.size(); left > 0; left--) {
                due.remove().run();
                if (ProcessorTime.ofCurrentThread() - beganNanos >= MAX_TURN.toNanos()) {
                    return;
                }
            }
        } finally {
            schedule(loop);
        }
    }
}
