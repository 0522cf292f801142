package io.masticfold.cli.command;

/** Signals that a command cannot go on. */
public final class CommandException extends Exception {

    private final ExitCode exitCode;

    /**
     * Creates an exception.
     *
     * @param exitCode exit code of the program
     * @param message message for the operator
     */
    public CommandException(ExitCode exitCode, String message) {
        super(message);
        this.exitCode = exitCode;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param exitCode exit code of the program
     * @param message message for the operator
     * @param cause the underlying failure
     */
    public CommandException(ExitCode exitCode, String message, Throwable cause) {
        super(message, cause);
        this.exitCode = exitCode;
    }

    /** Returns the exit code of the program. */
    public ExitCode exitCode() {
        return exitCode;
    }
}
