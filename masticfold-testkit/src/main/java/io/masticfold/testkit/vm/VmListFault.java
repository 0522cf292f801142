package io.masticfold.testkit.vm;

import io.masticfold.testkit.http.Fault;

/** Lists the fault switches of the VM list. Counting switches apply to the next calls, -1 means until changed. */
public enum VmListFault implements Fault {
    /** Shows changes only after some milliseconds. */
    LAG_MILLIS("lagMillis", 0),
    /** Counts calls answered with 503. */
    UNAVAILABLE("unavailable", 0),
    /** Counts calls whose connection is cut. */
    CUT("cut", 0),
    /** Refuses connections for some milliseconds. */
    REJECT_MILLIS("rejectMillis", 0);

    private final String code;
    private final long initial;

    VmListFault(String code, long initial) {
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
