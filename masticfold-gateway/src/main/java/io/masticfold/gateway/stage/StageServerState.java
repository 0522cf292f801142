package io.masticfold.gateway.stage;

import io.masticfold.core.stage.SlowdownEstimate;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Tracks the result storage, the speed and the pauses of one stage server. Not thread-safe. */
final class StageServerState {

    /** Time for which releases are collected into one call. */
    static final Duration RELEASE_DELAY = Duration.ofMillis(5);

    /** Timeout of a call that releases results. */
    static final Duration RELEASE_TIMEOUT = Duration.ofSeconds(1);

    /** Time until results of a former owner are gone: about the time of a request from its last stage to its end. */
    static final Duration FOREIGN_RESULT_LIFETIME = Duration.ofMillis(1000);

    /** Expected rest of an overdue call, as a fraction of the time that it has taken. */
    private static final double OVERDUE_FRACTION = 0.25;

    private static final double NANOS_PER_MILLI = 1e6;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Smallest limit that is kept, so that a server that names zero is called again now and then. */
    private static final double MIN_CALLS_PER_SECOND = 0.1;

    private final TimeSource time;
    private final Map<String, StoredResult> results = new HashMap<>();
    private final Set<String> evictableHandles = new LinkedHashSet<>();
    private List<String> pendingReleases = new ArrayList<>();
    private boolean releaseScheduled;
    private long storedBytes;
    private long reservedBytes;
    private long foreignBytes;
    private long foreignRecordedNanos;
    private long callStartedNanos;
    private double callExpectedMillis;
    private final ServerPauses.Pause pause;
    private final SlowdownEstimate slowdown = new SlowdownEstimate();

    /**
     * Creates the state of a server about which nothing is known but its pause.
     *
     * @param pause end of the server's pauses, which outlives this state
     */
    StageServerState(TimeSource time, ServerPauses.Pause pause) {
        this.time = time;
        this.pause = pause;
    }

    /** Returns the ratio of the actual to the expected duration of the call in progress, or of the next one. */
    double slowdown() {
        return slowdown.value(callExpectedMillis == 0 ? time.nanoTime() : callStartedNanos);
    }

    double remainingCallMillis() {
        if (callExpectedMillis == 0) {
            return 0;
        }
        double elapsed = (time.nanoTime() - callStartedNanos) / NANOS_PER_MILLI;
        double remaining = callExpectedMillis * slowdown() - elapsed;
        return remaining > 0 ? remaining : elapsed * OVERDUE_FRACTION;
    }

    void callStarted(long bytes, double expectedMillis) {
        reservedBytes += bytes;
        callStartedNanos = time.nanoTime();
        callExpectedMillis = expectedMillis;
    }

    /**
     * Delays the next call so that the server gets no more calls than it takes. Only the owner of the server calls it.
     *
     * @param callsPerSecond limit that the server names
     */
    void pauseForLimit(double callsPerSecond) {
        pause.limit(callStartedNanos + (long) (NANOS_PER_SECOND / Math.max(MIN_CALLS_PER_SECOND, callsPerSecond)));
    }

    /** Delays the next call by a pause that the server has asked for; an earlier, longer one holds. */
    void pauseAsAsked(Duration length) {
        pause.limit(time.nanoTime() + length.toNanos());
    }

    /** Records that no call is in progress, so that the next one may start. */
    void callEnded() {
        callExpectedMillis = 0;
    }

    /** Frees the storage reserved for a call once the outcome of the call is known. */
    void callResolved(long bytes) {
        reservedBytes -= bytes;
    }

    /** Records the duration of a call that ended now, in milliseconds. */
    void recordDuration(double callMillis, double expectedMillis) {
        slowdown.record(callMillis, expectedMillis, time.nanoTime());
    }

    /** Records that a call has taken at least a time, in milliseconds, and is late. */
    void recordLateDuration(double callMillis, double expectedMillis) {
        slowdown.recordLate(callMillis, expectedMillis, time.nanoTime());
    }

    void pause(Duration length) {
        pause.pause(time.nanoTime() + length.toNanos());
    }

    double remainingPauseMillis() {
        return Math.max(0, pause.remainingNanos(time.nanoTime()) / NANOS_PER_MILLI);
    }

    long freeBytes(long total) {
        removeExpired();
        return total - storedBytes - reservedBytes - foreignBytes();
    }

    /**
     * Records that the server reported no free storage. If there should be some, results of a former owner of the queue
     * occupy it. They are released as their requests end, so their estimated size decreases over time.
     */
    void recordNoStorage(long total) {
        long free = freeBytes(total);
        if (free > 0) {
            foreignBytes = foreignBytes() + free;
            foreignRecordedNanos = time.nanoTime();
        }
    }

    private long foreignBytes() {
        double left = 1 - (time.nanoTime() - foreignRecordedNanos) / (double) FOREIGN_RESULT_LIFETIME.toNanos();
        return left <= 0 ? 0 : (long) (foreignBytes * left);
    }

    void addResult(String handle, long bytes, Duration retentionTime) {
        if (results.put(handle, new StoredResult(bytes, time.nanoTime() + retentionTime.toNanos())) == null) {
            storedBytes += bytes;
        }
    }

    void addPendingRelease(String handle) {
        evictableHandles.remove(handle);
        pendingReleases.add(handle);
    }

    /** Marks results that are needed again only after a failure. */
    void markEvictable(List<String> handles) {
        handles.stream().filter(results::containsKey).forEach(evictableHandles::add);
    }

    /** Releases the results that are needed only after a failure; returns whether there were any. */
    boolean evictAll() {
        if (evictableHandles.isEmpty()) {
            return false;
        }
        pendingReleases.addAll(evictableHandles);
        evictableHandles.clear();
        return true;
    }

    /** Removes results that the server was told to release. */
    void removeResults(List<String> handles) {
        handles.forEach(this::removeResult);
    }

    private void removeResult(String handle) {
        evictableHandles.remove(handle);
        StoredResult result = results.remove(handle);
        if (result != null) {
            storedBytes -= result.bytes();
        }
    }

    private void removeExpired() {
        long now = time.nanoTime();
        List<String> expired = results.entrySet().stream()
                .filter(entry -> now - entry.getValue().expiryNanos() > 0)
                .map(Map.Entry::getKey)
                .toList();
        expired.forEach(this::removeResult);
    }

    boolean releaseScheduled() {
        return releaseScheduled;
    }

    void markReleaseScheduled() {
        releaseScheduled = true;
    }

    /** Takes the handles to release; their storage counts as occupied until {@link #removeResults}. */
    List<String> takePendingReleases() {
        List<String> handles = pendingReleases;
        pendingReleases = new ArrayList<>();
        releaseScheduled = false;
        return handles;
    }

    private record StoredResult(long bytes, long expiryNanos) {}
}
