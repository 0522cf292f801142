package io.masticfold.wire;

import io.masticfold.core.config.SpecCodec;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.ObjectKind;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Codec that maps each encoded text to the original specification in memory, so that the tests need no JSON. */
final class TestSpecCodec implements SpecCodec {

    private final Map<String, ConfigSpec> encoded = new ConcurrentHashMap<>();

    @Override
    public String encode(ConfigSpec spec) {
        encoded.put(spec.toString(), spec);
        return spec.toString();
    }

    @Override
    public ConfigSpec decode(ObjectKind kind, String name, String json) throws MasticfoldException {
        ConfigSpec spec = encoded.get(json);
        if (spec == null || spec.kind() != kind || !spec.name().equals(name)) {
            throw new MasticfoldException(ErrorKind.MALFORMED_REQUEST, "unknown specification: " + json);
        }
        return spec;
    }
}
