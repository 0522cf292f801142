package io.masticfold.core.resume;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Holds where the streams that callers can still take up began, the oldest first. Not thread-safe. */
public final class StreamOriginTable {

    /** Largest number of streams; beyond it the oldest is forgotten, and refused if it is taken up. */
    static final int MAX_ORIGINS = 16_384;

    private final TimeSource time;
    private final Map<String, StreamOrigin> originsByAttempt = new LinkedHashMap<>();

    /** Creates an empty table. */
    public StreamOriginTable(TimeSource time) {
        this.time = time;
    }

    /** Adds a stream, unless it is known; returns whether it was added. */
    public boolean add(StreamOrigin origin) {
        if (originsByAttempt.putIfAbsent(origin.attempt(), origin) != null) {
            return false;
        }
        if (originsByAttempt.size() > MAX_ORIGINS) {
            Iterator<String> oldest = originsByAttempt.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return true;
    }

    /** Returns where the stream began whose first event an attempt brought. */
    public Optional<StreamOrigin> find(String attempt) {
        return Optional.ofNullable(originsByAttempt.get(attempt));
    }

    /** Returns the streams of a pool. */
    public List<StreamOrigin> of(String pool) {
        return originsByAttempt.values().stream()
                .filter(origin -> origin.pool().equals(pool))
                .toList();
    }

    /** Removes the streams that began before a window. */
    public void expire(Duration window) {
        long oldest = time.nanoTime() - window.toNanos();
        originsByAttempt.values().removeIf(origin -> origin.nanos() - oldest < 0);
    }
}
