package io.masticfold.testkit.object;

/** Limits calls in windows of one second. */
final class CallRate {

    private static final long WINDOW_MILLIS = 1_000;

    private long windowStart;
    private long calls;

    /**
     * Counts a call.
     *
     * @param nowMillis current time, in milliseconds
     * @param limit calls allowed in a second
     * @return whether the call is within the limit
     */
    boolean allow(long nowMillis, long limit) {
        if (nowMillis - windowStart >= WINDOW_MILLIS) {
            windowStart = nowMillis;
            calls = 0;
        }
        calls++;
        return calls <= limit;
    }
}
