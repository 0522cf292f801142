package io.masticfold.core.attempt;

import io.masticfold.core.time.TimeSource;
import java.util.random.RandomGenerator;

/**
 * Identifies one run of a process. Two runs never share an incarnation, even on the same VM.
 *
 * @param startMillis wall-clock start of the process, in milliseconds since the epoch
 * @param random 64 random bits
 */
public record Incarnation(long startMillis, long random) implements Comparable<Incarnation> {

    private static final int RADIX = 16;

    /** Creates the incarnation of a process that starts now. */
    public static Incarnation start(TimeSource time, RandomGenerator random) {
        return new Incarnation(time.now().toEpochMilli(), random.nextLong());
    }

    /**
     * Parses the text form.
     *
     * @param text the value of {@link #toString()}
     * @throws IllegalArgumentException if the text has another form
     */
    public static Incarnation parse(String text) {
        int dash = text.indexOf('-');
        if (dash <= 0) {
            throw new IllegalArgumentException("not an incarnation: '" + text + "'");
        }
        return new Incarnation(
                Long.parseUnsignedLong(text.substring(0, dash), RADIX),
                Long.parseUnsignedLong(text.substring(dash + 1), RADIX));
    }

    @Override
    public int compareTo(Incarnation other) {
        int byStart = Long.compare(startMillis, other.startMillis);
        return byStart != 0 ? byStart : Long.compareUnsigned(random, other.random);
    }

    @Override
    public String toString() {
        return Long.toHexString(startMillis) + '-' + Long.toHexString(random);
    }
}
