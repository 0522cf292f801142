package io.masticfold.gateway.protocol;

import java.util.List;

/**
 * Describes one piece of stage work.
 *
 * @param attemptId id of the caller's attempt
 * @param stage number of the stage
 * @param piece number of the piece within the stage
 * @param leftMillis time left until the result is of no use, in milliseconds
 * @param key key of a piece that reads no results of other pieces
 * @param inputs handles of the results it reads; empty if it reads none
 */
public record StagePiece(String attemptId, int stage, int piece, long leftMillis, String key, List<String> inputs) {

    /** Copies the list. */
    public StagePiece {
        inputs = List.copyOf(inputs);
    }
}
