package io.masticfold.gateway.stage;

import io.masticfold.core.error.ErrorKind;

/** Lists why the stages of a request are not begun. */
public enum StageRefusal {
    TOO_LATE(ErrorKind.STAGE_TIMEOUT, "stages would be too late"),
    STOPPING(ErrorKind.SHUTTING_DOWN, "gateway is stopping");

    private final ErrorKind kind;
    private final String detail;

    StageRefusal(ErrorKind kind, String detail) {
        this.kind = kind;
        this.detail = detail;
    }

    /** Returns the kind of error that the caller is told. */
    public ErrorKind kind() {
        return kind;
    }

    /** Returns the detail for the log. */
    public String detail() {
        return detail;
    }
}
