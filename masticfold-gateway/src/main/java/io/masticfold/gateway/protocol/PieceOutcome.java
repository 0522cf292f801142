package io.masticfold.gateway.protocol;

/**
 * Holds the outcome of one piece of a stage call.
 *
 * @param kind what happened
 * @param handle names the result; empty unless the piece was made
 */
public record PieceOutcome(Kind kind, String handle) {

    /** Lists the outcomes of a piece. */
    public enum Kind {
        /** The result exists. */
        MADE,
        /** The time for it had passed at its turn. */
        LATE,
        /** One of its inputs no longer exists. */
        INPUT_GONE,
        /** The server had no room for the result. */
        NO_ROOM,
        /** The server failed to make this piece. */
        FAILED,
        /** The server did not serve the whole call. */
        GIVEN_BACK,
        /** The piece was in no call, and its server is not used at present. */
        NOT_SENT
    }
}
