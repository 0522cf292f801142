package io.masticfold.gateway.protocol;

import io.masticfold.core.error.MasticfoldException;
import java.util.List;

/** Encodes calls to stage servers and decodes their responses. */
public interface StageDialect {

    /** Returns the path of a call that runs pieces. */
    String runUri();

    /** Encodes a call that runs pieces. */
    byte[] encodeRun(List<StagePiece> pieces);

    /**
     * Decodes the response to a call that runs pieces.
     *
     * @param body response body
     * @param pieces number of pieces in the call; the outcomes are in the same order
     * @throws MasticfoldException if the response is malformed or holds another number of outcomes
     */
    List<PieceOutcome> decodeRun(byte[] body, int pieces) throws MasticfoldException;

    /** Returns the path of a call that releases results. */
    String freeUri();

    /** Encodes a call that releases results. */
    byte[] encodeFree(List<String> handles);

    /** Returns the path of the load report of a server. */
    String reportUri();

    /**
     * Decodes the load report of a server.
     *
     * @throws MasticfoldException if the report is malformed
     */
    StageLoadReport decodeReport(byte[] body) throws MasticfoldException;
}
