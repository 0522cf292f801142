package io.masticfold.core.stage;

/**
 * Decides when a call of a stage server is late enough to ask the server about it, and what follows. It answers a load
 * pattern in which a server makes pieces and its answers are lost on the way, for a third of the calls: waiting for the
 * longest possible answer left the server without work for most of the time, although it was free. A server that is
 * still at work keeps its pieces: made twice, they would cost the others more than is gained.
 */
public final class SilenceSupport {

    /** Factor on the expected duration; calls of a busy day took at most 1.15 times what was expected of them. */
    static final double LATE_FACTOR = 1.5;

    /** Time for the way, for the transfer of inputs between zones and for a busy event loop, in milliseconds. */
    static final double SLACK_MILLIS = 150;

    private SilenceSupport() {}

    /**
     * Returns the time after which a server is asked about its call, in milliseconds.
     *
     * @param expectedMillis expected duration of the call at a server of usual speed, in milliseconds
     * @param slowness measured duration of the server's calls in parts of the expected one
     */
    public static double askAfterMillis(double expectedMillis, double slowness) {
        return expectedMillis * Math.max(1, slowness) * LATE_FACTOR + SLACK_MILLIS;
    }
}
