package io.masticfold.core.stage;

/**
 * Computes when an unanswered call to a stage server is late, so that the gateway queries the server about it. When a
 * third of the answers of a server were lost, waiting for the longest possible call left the free server idle for most
 * of the time. A server that is still processing the call keeps its pieces, because processing them again would delay
 * other requests by more than it gains.
 */
public final class LateCallDetection {

    /** Multiple of the expected duration after which a call is late; calls under heavy load took at most 1.15 times. */
    static final double LATE_FACTOR = 1.5;

    /** Allowance for network latency, transfer of inputs between zones and event loop delay, in milliseconds. */
    static final double SLACK_MILLIS = 150;

    private LateCallDetection() {}

    /**
     * Returns the time after which the server of an unanswered call is queried, in milliseconds.
     *
     * @param expectedMillis expected duration of the call at a server of nominal speed, in milliseconds
     * @param slowness ratio of the measured to the expected duration of this server's calls
     */
    public static double queryDelayMillis(double expectedMillis, double slowness) {
        return expectedMillis * Math.max(1, slowness) * LATE_FACTOR + SLACK_MILLIS;
    }
}
