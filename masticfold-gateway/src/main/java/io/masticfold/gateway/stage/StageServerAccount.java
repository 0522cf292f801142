package io.masticfold.gateway.stage;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Accounts for the room, the speed and the pauses of one stage server. Used by one thread. */
final class StageServerAccount {

    /** Time for which releases are collected. */
    static final Duration RELEASE_DELAY = Duration.ofMillis(5);

    /** Time for a call that releases results. */
    static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

    /** Time within which the results of a former owner go: about that of a request from its last stage to its end. */
    static final Duration FOREIGN_TIME = Duration.ofMillis(1000);

    /** Weight of the newest call in the measured slowness. */
    private static final double SLOWNESS_WEIGHT = 0.3;

    /** Range of the measured slowness. */
    private static final double LEAST_SLOWNESS = 0.7;

    private static final double MOST_SLOWNESS = 20;

    private static final double NANOS_PER_MILLI = 1e6;

    private final TimeSource time;
    private final Map<String, Kept> kept = new HashMap<>();
    private final Set<String> evictable = new LinkedHashSet<>();
    private List<String> released = new ArrayList<>();
    private boolean releaseArmed;
    private long keptBytes;
    private long callBytes;
    private long foreignBytes;
    private long foreignNanos;
    private long callStartedNanos;
    private double callExpectedMillis;
    private long pausedUntilNanos;
    private double slowness = 1;

    StageServerAccount(TimeSource time) {
        this.time = time;
        this.pausedUntilNanos = time.nanoTime();
    }

    double slowness() {
        return slowness;
    }

    double remainingMillis() {
        double elapsed = (time.nanoTime() - callStartedNanos) / NANOS_PER_MILLI;
        return callExpectedMillis == 0 ? 0 : Math.max(0, callExpectedMillis * slowness - elapsed);
    }

    void callStarted(long bytes, double expectedMillis) {
        callBytes += bytes;
        callStartedNanos = time.nanoTime();
        callExpectedMillis = expectedMillis;
    }

    /** Notes that the server may be called again. */
    void callEnded() {
        callExpectedMillis = 0;
    }

    /** Notes that it is known what became of the results of a call. */
    void settled(long bytes) {
        callBytes -= bytes;
    }

    /**
     * Notes how long a call took.
     *
     * @param ratio its duration in parts of the expected one
     */
    void measured(double ratio) {
        slowness = bounded((1 - SLOWNESS_WEIGHT) * slowness + SLOWNESS_WEIGHT * ratio);
    }

    /** Notes how long a call took that counted as silent: the server is slow, which one such call shows. */
    void measuredLate(double ratio) {
        slowness = bounded(Math.max(slowness, ratio));
    }

    private static double bounded(double slowness) {
        return Math.max(LEAST_SLOWNESS, Math.min(MOST_SLOWNESS, slowness));
    }

    void pause(Duration length) {
        pausedUntilNanos = time.nanoTime() + length.toNanos();
    }

    double pauseMillis() {
        return Math.max(0, (pausedUntilNanos - time.nanoTime()) / NANOS_PER_MILLI);
    }

    long roomBytes(long total) {
        expire();
        return total - keptBytes - callBytes - foreignBytes();
    }

    /**
     * Notes that the server had no room where this account shows some. Results of a former owner of the queue take it;
     * they go as their requests end, so the estimate decreases with time.
     */
    void noRoom(long total) {
        long room = roomBytes(total);
        if (room > 0) {
            foreignBytes = foreignBytes() + room;
            foreignNanos = time.nanoTime();
        }
    }

    private long foreignBytes() {
        double left = 1 - (time.nanoTime() - foreignNanos) / (double) FOREIGN_TIME.toNanos();
        return left <= 0 ? 0 : (long) (foreignBytes * left);
    }

    void keep(String handle, long bytes, Duration keepTime) {
        if (kept.put(handle, new Kept(bytes, time.nanoTime() + keepTime.toNanos())) == null) {
            keptBytes += bytes;
        }
    }

    void release(String handle) {
        evictable.remove(handle);
        released.add(handle);
    }

    /** Notes results that are only needed again after a failure. */
    void evictable(List<String> handles) {
        handles.stream().filter(kept::containsKey).forEach(evictable::add);
    }

    /** Releases the results that are only needed after a failure; returns whether there are any. */
    boolean evict() {
        if (evictable.isEmpty()) {
            return false;
        }
        released.addAll(evictable);
        evictable.clear();
        return true;
    }

    /** Notes that the server was told to release results. */
    void freed(List<String> handles) {
        handles.forEach(this::drop);
    }

    private void drop(String handle) {
        evictable.remove(handle);
        Kept result = kept.remove(handle);
        if (result != null) {
            keptBytes -= result.bytes();
        }
    }

    private void expire() {
        long now = time.nanoTime();
        List<String> ended = kept.entrySet().stream()
                .filter(entry -> now - entry.getValue().untilNanos() > 0)
                .map(Map.Entry::getKey)
                .toList();
        ended.forEach(this::drop);
    }

    boolean releaseArmed() {
        return releaseArmed;
    }

    void armRelease() {
        releaseArmed = true;
    }

    /** Takes the handles to release; their room counts as taken until {@link #freed}. */
    List<String> takeReleased() {
        List<String> handles = released;
        released = new ArrayList<>();
        releaseArmed = false;
        return handles;
    }

    private record Kept(long bytes, long untilNanos) {}
}
