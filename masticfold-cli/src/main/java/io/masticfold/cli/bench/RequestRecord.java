package io.masticfold.cli.bench;

/**
 * Records the answer to one request; times count from the scheduled time of the request.
 *
 * @param request the request
 * @param outcome {@code ok}, an error kind, or {@code lost} for a cut connection
 * @param ran statement about execution, empty for whole answers
 * @param firstByteNanos time to the first byte of the answer, in nanoseconds
 * @param totalNanos time to the end of the answer, in nanoseconds
 */
record RequestRecord(BenchRequest request, String outcome, String ran, long firstByteNanos, long totalNanos) {

    static final String OK = "ok";

    private static final long WINDOW_NANOS = BenchSizes.WINDOW_MILLIS * 1_000_000L;

    boolean whole() {
        return outcome.equals(OK);
    }

    boolean inWindow() {
        return whole() && totalNanos <= WINDOW_NANOS;
    }
}
