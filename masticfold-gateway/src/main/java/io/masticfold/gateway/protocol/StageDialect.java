package io.masticfold.gateway.protocol;

import io.masticfold.core.error.MasticfoldException;
import java.util.List;

/** Encodes calls to stage servers and decodes their answers. */
public interface StageDialect {

    /** Returns the path of a call that makes pieces. */
    String runUri();

    /** Encodes a call that makes pieces. */
    byte[] encodeRun(List<StagePiece> pieces);

    /**
     * Decodes the answer of a call that makes pieces.
     *
     * @param body the answer
     * @param pieces number of pieces asked for; the outcomes are in the same order
     * @throws MasticfoldException if the answer is malformed or holds another number of outcomes
     */
    List<PieceOutcome> decodeRun(byte[] body, int pieces) throws MasticfoldException;

    /** Returns the path of a call that releases results. */
    String freeUri();

    /** Encodes a call that releases results. */
    byte[] encodeFree(List<String> handles);

    /** Returns the path at which a server says what it does. */
    String reportUri();

    /**
     * Decodes what a server says of itself.
     *
     * @throws MasticfoldException if the report is malformed
     */
    StageReport decodeReport(byte[] body) throws MasticfoldException;
}
