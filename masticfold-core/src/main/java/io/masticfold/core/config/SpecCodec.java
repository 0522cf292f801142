package io.masticfold.core.config;

import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.ObjectKind;

/** Encodes and decodes specifications as JSON. */
public interface SpecCodec {

    /** Encodes a specification as a JSON object. */
    String encode(ConfigSpec spec);

    /**
     * Decodes and validates a specification.
     *
     * @param kind kind of the object
     * @param name name of the object
     * @param json the JSON object
     * @throws MasticfoldException with kind {@code MALFORMED_REQUEST} if the text is not a valid specification
     */
    ConfigSpec decode(ObjectKind kind, String name, String json) throws MasticfoldException;
}
