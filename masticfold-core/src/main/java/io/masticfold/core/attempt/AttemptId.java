package io.masticfold.core.attempt;

/**
 * Identifier of one attempt to run a stage. Unique across restarts of the entry.
 *
 * @param entry incarnation of the entry that issued the id
 * @param counter sequence number within the incarnation, starting at 1
 */
public record AttemptId(Incarnation entry, long counter) {

    /** Validates the counter. */
    public AttemptId {
        if (counter < 1) {
            throw new IllegalArgumentException("counter must be at least 1: " + counter);
        }
    }

    /**
     * Parses an id from its string representation.
     *
     * @param text a string returned by {@link #toString()}
     * @throws IllegalArgumentException if the text is malformed
     */
    public static AttemptId parse(String text) {
        int colon = text.indexOf(':');
        if (colon <= 0) {
            throw new IllegalArgumentException("not an attempt id: '" + text + "'");
        }
        return new AttemptId(Incarnation.parse(text.substring(0, colon)), Long.parseLong(text.substring(colon + 1)));
    }

    @Override
    public String toString() {
        return entry.toString() + ':' + counter;
    }
}
