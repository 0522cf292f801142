package io.masticfold.gateway.stage;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tracks the result storage, the speed and the pauses of one stage server. Not thread-safe. */
final class StageServerAccount {

    /** Time for which releases are collected into one call. */
    static final Duration RELEASE_DELAY = Duration.ofMillis(5);

    /** Timeout of a call that releases results. */
    static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

    /** Time until results of a former owner are gone: about the time of a request from its last stage to its end. */
    static final Duration FOREIGN_TIME = Duration.ofMillis(1000);

    /** Weight of the latest call in the moving average of the slowness. */
    private static final double SLOWNESS_WEIGHT = 0.3;

    /** Bounds of the measured slowness. */
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

    /** Records that no call is in progress, so that the next one may start. */
    void callEnded() {
        callExpectedMillis = 0;
    }

    /** Frees the storage reserved for a call once the outcome of the call is known. */
    void settled(long bytes) {
        callBytes -= bytes;
    }

    /**
     * Records the duration of a call.
     *
     * @param ratio ratio of actual to expected duration
     */
    void measured(double ratio) {
        slowness = bounded((1 - SLOWNESS_WEIGHT) * slowness + SLOWNESS_WEIGHT * ratio);
    }

    /** Records the duration of a late call. It is not averaged: one late call shows that the server is slow. */
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
     * Records that the server reported no free storage. If there should be some, results of a former owner of the queue
     * occupy it. They are released as their requests end, so their estimated size decreases over time.
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

    /** Marks results that are needed again only after a failure. */
    void evictable(List<String> handles) {
        handles.stream().filter(kept::containsKey).forEach(evictable::add);
    }

    /** Releases the results that are needed only after a failure; returns whether there were any. */
    boolean evict() {
        if (evictable.isEmpty()) {
            return false;
        }
        released.addAll(evictable);
        evictable.clear();
        return true;
    }

    /** Removes results that the server was told to release. */
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

    /** Takes the handles to release; their storage counts as occupied until {@link #freed}. */
    List<String> takeReleased() {
        List<String> handles = released;
        released = new ArrayList<>();
        releaseArmed = false;
        return handles;
    }

    private record Kept(long bytes, long untilNanos) {}
}
