package io.masticfold.testkit.targets;

import io.masticfold.testkit.http.Fault;

/** Lists the fault switches of a target. Counting switches apply to the next runs, -1 means until changed. */
public enum TargetFault implements Fault {
    /** Scales service times, in percent. */
    SLOW_PERCENT("slowPercent", 100),
    /** Counts runs that execute and are answered with 500. */
    FAIL("fail", 0),
    /** Counts runs refused with 503 and {@code X-Not-Run}. */
    REFUSE("refuse", 0),
    /** Occupies slots with work of the target's own. */
    BURST_SLOTS("burstSlots", 0),
    /** Turns the target cold at once, under a new boot id; the value is the warm-up time in milliseconds. */
    TURN_COLD_MILLIS("turnColdMillis", 0),
    /** Stops answering until set back to 0. */
    FREEZE("freeze", 0),
    /** Counts runs whose connection is cut on arrival, without execution. */
    CUT_ON_ARRIVAL("cutOnArrival", 0),
    /** Counts runs that execute and whose connection is cut before the answer. */
    CUT_BEFORE_BODY("cutBeforeBody", 0),
    /** Counts runs that execute and whose connection is cut within the answer. */
    CUT_DURING_BODY("cutDuringBody", 0),
    /** Counts runs whose connection is cut after the whole answer. */
    CUT_AFTER_BODY("cutAfterBody", 0),
    /** Refuses connections for some milliseconds. */
    REJECT_MILLIS("rejectMillis", 0);

    private final String code;
    private final long initial;

    TargetFault(String code, long initial) {
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
