package io.masticfold.core.attempt;

/**
 * Identifies one attempt to run one stage. Unique over restarts of the entry.
 *
 * @param entry incarnation of the entry that issued the attempt
 * @param counter number of the attempt within the incarnation, from 1
 */
public record AttemptId(Incarnation entry, long counter) {

    /** Checks the counter. */
    public AttemptId {
        if (counter < 1) {
            throw new IllegalArgumentException("counter must be at least 1: " + counter);
        }
    }

    /**
     * Parses the text form.
     *
     * @param text the value of {@link #toString()}
     * @throws IllegalArgumentException if the text has another form
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
