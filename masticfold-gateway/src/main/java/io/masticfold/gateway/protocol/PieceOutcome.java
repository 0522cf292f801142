package io.masticfold.gateway.protocol;

/**
 * Holds the outcome of one piece of work in a stage call.
 *
 * @param kind what happened
 * @param handle handle of the result; empty unless the piece was made
 */
public record PieceOutcome(Kind kind, String handle) {

    /** Possible outcomes of a piece. */
    public enum Kind {
        /** The result was computed and is stored on the server. */
        MADE,
        /** Its deadline passed before it was run. */
        LATE,
        /** One of its inputs no longer exists. */
        INPUT_GONE,
        /** The server had no capacity to store the result. */
        NO_ROOM,
        /** The server failed to compute the result. */
        FAILED,
        /** The call failed as a whole, so that no piece has an outcome of its own. */
        GIVEN_BACK,
        /** The piece was not sent, because its server is currently not used. */
        NOT_SENT
    }
}
