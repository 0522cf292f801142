package io.masticfold.testkit.vm;

import java.util.Locale;

/** Lists the states of a VM in the list. */
public enum VmState {
    LIVE,
    LEAVING;

    /** Returns the name used in the answer. */
    public String code() {
        return name().toLowerCase(Locale.ROOT);
    }
}
