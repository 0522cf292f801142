package io.masticfold.core.quarantine;

import io.masticfold.core.time.TimeSource;
import java.time.Duration;

/** Estimates, with exponential decay, how often the target ends when an answer on a sound part is due to begin. */
final class EndShare {

    /** Time in which the weight of an observation falls to a half. */
    static final Duration HALF_LIFE = Duration.ofSeconds(30);

    /** Weight of the assumption that targets do not end, in answers. */
    private static final double PRIOR_ANSWERS = 10;

    private final TimeSource time;
    private double ends;
    private double answers;
    private long updatedNanos;

    EndShare(TimeSource time) {
        this.time = time;
        this.updatedNanos = time.nanoTime();
    }

    void recordEnd() {
        decay();
        ends++;
    }

    void recordBegun() {
        decay();
        answers++;
    }

    /** Returns the smallest number of ends in a row whose probability is at most the given one. */
    int runLength(double probability) {
        decay();
        double share = (ends + 1) / (ends + answers + PRIOR_ANSWERS);
        return share >= 1 ? Integer.MAX_VALUE : (int) Math.ceil(Math.log(probability) / Math.log(share));
    }

    private void decay() {
        long now = time.nanoTime();
        double factor = Math.pow(0.5, (double) (now - updatedNanos) / HALF_LIFE.toNanos());
        ends *= factor;
        answers *= factor;
        updatedNanos = now;
    }
}
