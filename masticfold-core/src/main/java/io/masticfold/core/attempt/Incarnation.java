package io.masticfold.core.attempt;

import io.masticfold.core.time.TimeSource;
import java.util.random.RandomGenerator;

/**
 * Identifier of one run of a process. Each restart of a process gets a new incarnation, even on the same VM.
 *
 * @param startMillis wall-clock start time of the process, in milliseconds since the Unix epoch
 * @param random 64 random bits
 */
public record Incarnation(long startMillis, long random) implements Comparable<Incarnation> {

    private static final int RADIX = 16;

    /** Creates the incarnation of a process that is starting now. */
    public static Incarnation start(TimeSource time, RandomGenerator random) {
        return new Incarnation(time.now().toEpochMilli(), random.nextLong());
    }

    /**
     * Parses an incarnation from its string representation.
     *
     * @param text a string returned by {@link #toString()}
     * @throws IllegalArgumentException if the text is malformed
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
