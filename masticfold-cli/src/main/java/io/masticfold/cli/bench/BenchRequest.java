package io.masticfold.cli.bench;

/**
 * Describes one request of the schedule.
 *
 * @param atNanos time after the start at which it is sent, in nanoseconds
 * @param workspace workspace that sends it
 * @param pipeline pipeline it asks for
 * @param number number within the schedule, from 0
 */
record BenchRequest(long atNanos, BenchWorkspace workspace, String pipeline, int number) {

    boolean idempotent() {
        return !pipeline.equals("pay");
    }

    boolean streamed() {
        return pipeline.equals("answer");
    }
}
