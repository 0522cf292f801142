package io.masticfold.gateway.stage;

import io.masticfold.core.error.ErrorKind;

/** Lists the reasons for which the stages of a request are refused. */
public enum StageRefusal {
    TOO_LATE(ErrorKind.STAGE_TIMEOUT, "stages would be too late"),
    STOPPING(ErrorKind.SHUTTING_DOWN, "gateway is stopping");

    private final ErrorKind kind;
    private final String detail;

    StageRefusal(ErrorKind kind, String detail) {
        this.kind = kind;
        this.detail = detail;
    }

    /** Returns the kind of error that is returned to the caller. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns the detail message. */
    public String detail() {
        return detail;
    }
}
