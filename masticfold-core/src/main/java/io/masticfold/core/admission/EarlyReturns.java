package io.masticfold.core.admission;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

/** Remembers when rejected requests may come back, so that those that come earlier gain nothing. */
final class EarlyReturns {

    /** Bounds the memory; a rejection lapses within a third of a caller's deadline anyway. */
    private static final int MAX_ENTRIES = 1000;

    private final TimeSource time;
    private final Map<String, Long> notBeforeNanos = new LinkedHashMap<>();

    EarlyReturns(TimeSource time) {
        this.time = time;
    }

    /** Records a rejection; the earlier time stays if the request has come back before it. */
    void rejected(String fingerprint, Duration retryAfter) {
        if (!early(fingerprint)) {
            notBeforeNanos.remove(fingerprint);
            notBeforeNanos.put(fingerprint, time.nanoTime() + retryAfter.toNanos());
            if (notBeforeNanos.size() > MAX_ENTRIES) {
                notBeforeNanos.remove(notBeforeNanos.keySet().iterator().next());
            }
        }
    }

    /** Returns whether a request comes back before the time it was told. */
    boolean early(String fingerprint) {
        Long notBefore = notBeforeNanos.get(fingerprint);
        return notBefore != null && notBefore - time.nanoTime() > 0;
    }
}
