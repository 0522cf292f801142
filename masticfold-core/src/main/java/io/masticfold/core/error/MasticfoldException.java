package io.masticfold.core.error;

/** Base exception that carries an {@link ErrorKind}. */
public class MasticfoldException extends Exception {

    private final ErrorKind kind;

    /**
     * Creates an exception.
     *
     * @param kind the kind of the failure
     * @param message a message that names the offending value
     */
    public MasticfoldException(ErrorKind kind, String message) {
        super(message);
        this.kind = kind;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param kind the kind of the failure
     * @param message a message that names the offending value
     * @param cause the underlying failure
     */
    public MasticfoldException(ErrorKind kind, String message, Throwable cause) {
        super(message, cause);
        this.kind = kind;
    }

    /** Returns the kind of the failure. */
    public ErrorKind kind() {
        return kind;
    }
}
