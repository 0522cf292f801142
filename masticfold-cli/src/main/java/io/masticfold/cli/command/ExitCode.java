package io.masticfold.cli.command;

/** Lists the exit codes of the program. */
public enum ExitCode {
    /** The command did what was asked. */
    OK(0),
    /** An internal fault stopped the command. */
    FAILED(1),
    /** The command line is wrong; nothing was done. */
    USAGE(2),
    /** A file has faults; nothing was done. */
    INVALID(3),
    /** An object has another version than expected; it was not changed. */
    CONFLICT(4),
    /** The object API or the VM list cannot be reached; nothing was changed. */
    UNAVAILABLE(5),
    /** The answer to a write was lost and the write could not be settled. */
    UNKNOWN(6),
    /** The change is accepted, but not every process has confirmed it in time. */
    UNCONFIRMED(7),
    /** The object does not exist. */
    NOT_FOUND(8);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /** Returns the code passed to the operating system. */
    public int code() {
        return code;
    }

    /** Returns the more severe of two codes; of two failures the later one in the list. */
    public ExitCode worse(ExitCode other) {
        return code >= other.code ? this : other;
    }
}
