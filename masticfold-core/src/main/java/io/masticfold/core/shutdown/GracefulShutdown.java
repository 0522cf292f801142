package io.masticfold.core.shutdown;

import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Holds the phase of the shutdown of a process, and decides which requests it still accepts. Before the shutdown it
 * learns how long the requests of each route take. Used by one thread.
 */
public final class GracefulShutdown {

    private final TimeSource time;
    private final Map<String, RecentMaximum> durationsByRoute = new HashMap<>();
    private @Nullable Deadline announced;
    private @Nullable Deadline exit;
    private boolean exiting;

    /** Creates the state of a process that is running. */
    public GracefulShutdown(TimeSource time) {
        this.time = time;
    }

    /**
     * Begins the shutdown; has no effect if it has begun.
     *
     * @param untilAnnounced time after which callers know of it
     * @param untilExit time after which the process exits, whatever is in progress
     * @throws IllegalArgumentException if a time is negative
     */
    public void begin(Duration untilAnnounced, Duration untilExit) {
        if (exit == null) {
            announced = Deadline.after(time, untilAnnounced);
            exit = Deadline.after(time, untilExit);
        }
    }

    /** Marks the process as about to exit: from now on nothing is accepted. */
    public void exit() {
        exiting = true;
    }

    /** Returns the current phase. */
    public ShutdownPhase phase() {
        Deadline end = exit;
        if (exiting || (end != null && end.expired(time))) {
            return ShutdownPhase.EXITING;
        }
        Deadline known = announced;
        if (known == null) {
            return ShutdownPhase.RUNNING;
        }
        return known.expired(time) ? ShutdownPhase.FINISHING : ShutdownPhase.ANNOUNCING;
    }

    /**
     * Returns whether a request may start, since its response can be completed before the process exits.
     *
     * @param route name of its route
     * @param window time after which the request is answered or ended in any case
     */
    public boolean accepts(String route, Duration window) {
        Deadline end = exit;
        Duration left = end == null ? Duration.ZERO : end.remaining(time);
        return phase().accepts(left, expected(route, window), window);
    }

    /** Returns the longest time that a recent request of the route took, but at most the window. */
    private Duration expected(String route, Duration window) {
        RecentMaximum durations = durationsByRoute.get(route);
        return durations == null || durations.longest().compareTo(window) > 0 ? window : durations.longest();
    }

    /**
     * Records the time that a request took from its arrival to the end of its response.
     *
     * @param route name of its route
     */
    public void recordCompleted(String route, Duration duration) {
        durationsByRoute.computeIfAbsent(route, _name -> new RecentMaximum()).record(duration);
    }

    /** Forgets the durations of all routes but the given ones. */
    public void retainRoutes(Set<String> routes) {
        durationsByRoute.keySet().retainAll(routes);
    }
}
