package io.masticfold.gateway.protocol;

import java.util.Locale;

/**
 * Defect of a signal in a target's response. The signal is ignored, and the response is used as if it were absent; a
 * pause that is too large is obeyed as the longest one.
 */
public enum MalformedSignal {
    LEAVING_REPEATED,
    LEAVING_EMPTY,
    LEAVING_TOO_LONG,
    LEAVING_UNKNOWN_VALUE,
    PAUSE_REPEATED,
    PAUSE_EMPTY,
    PAUSE_TOO_LONG,
    PAUSE_NEGATIVE,
    PAUSE_TOO_LARGE,
    PAUSE_NO_NUMBER,
    PAUSE_DATE;

    /** Returns the name of the counter of this defect. */
    public String counter() {
        return "target_signal_" + name().toLowerCase(Locale.ROOT);
    }
}
