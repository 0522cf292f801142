package io.masticfold.gateway.store;

import io.masticfold.core.error.MasticfoldException;
import io.masticfold.gateway.protocol.StorePage;

/** Decodes the body of a response of the store. */
interface PageDecoder {

    /**
     * Decodes a body.
     *
     * @throws MasticfoldException if the body is malformed
     */
    StorePage decode(byte[] body) throws MasticfoldException;
}
