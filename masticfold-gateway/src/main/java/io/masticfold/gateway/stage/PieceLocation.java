package io.masticfold.gateway.stage;

/**
 * Identifies the stage server that processed a piece.
 *
 * @param server id of the server; empty if no server did
 * @param zone availability zone of the server
 */
record PieceLocation(String server, String zone) {

    /** Location of a piece that was sent to no server. */
    static final PieceLocation NONE = new PieceLocation("", "");
}
