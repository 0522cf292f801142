package io.masticfold.platform.json;

import io.masticfold.core.config.SpecCodec;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.ObjectKind;
import java.util.Optional;

/** Converts specifications to and from JSON with the field names of the object API. Thread-safe. */
public final class JsonSpecCodec implements SpecCodec {

    /** Creates a codec. */
    public JsonSpecCodec() {}

    @Override
    public String encode(ConfigSpec spec) {
        return JsonSupport.write(SpecWriter.write(spec));
    }

    @Override
    public ConfigSpec decode(ObjectKind kind, String name, String json) throws JsonProblemException {
        JsonDocument document = JsonDocument.parse(kind.code() + '/' + name, json);
        Optional<? extends ConfigSpec> spec = SpecReader.read(kind, name, document.reader());
        document.check();
        return spec.orElseThrow();
    }
}
