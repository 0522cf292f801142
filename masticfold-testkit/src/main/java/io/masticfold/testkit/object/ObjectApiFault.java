package io.masticfold.testkit.object;

import io.masticfold.testkit.http.Fault;

/** Lists the fault switches of the object API. Counting switches apply to the next calls, -1 means until changed. */
public enum ObjectApiFault implements Fault {
    /** Counts calls answered with 503 and without effect. */
    UNAVAILABLE("unavailable", 0),
    /** Counts calls whose connection is cut without effect. */
    CUT("cut", 0),
    /** Holds calls for some milliseconds before they take effect. */
    DELAY_BEFORE_MILLIS("delayBeforeMillis", 0),
    /** Holds answers for some milliseconds after the calls took effect. */
    DELAY_AFTER_MILLIS("delayAfterMillis", 0),
    /** Counts writes that take effect and whose answer is lost. */
    LOSE_AFTER_EFFECT("loseAfterEffect", 0),
    /** Counts writes that are lost before they take effect. */
    LOSE_BEFORE_EFFECT("loseBeforeEffect", 0),
    /** Limits the writes in a second; further ones are answered with 429. */
    WRITES_PER_SECOND("writesPerSecond", 500),
    /** Limits the reads in a second; a watch counts as one. */
    READS_PER_SECOND("readsPerSecond", 2_000),
    /** Refuses connections for some milliseconds. */
    REJECT_MILLIS("rejectMillis", 0);

    private final String code;
    private final long initial;

    ObjectApiFault(String code, long initial) {
        this.code = code;
        this.initial = initial;
    }

    @Override
    public String code() {
        return code;
    }

    @Override
    public long initial() {
        return initial;
    }
}
