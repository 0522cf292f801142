package io.masticfold.platform.store;

import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.config.SpecCodec;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.platform.event.PlatformEvent;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Decodes stored objects to configuration objects. */
final class ObjectDecoder {

    private static final Logger LOG = LoggerFactory.getLogger(ObjectDecoder.class);

    private final SpecCodec codec;

    ObjectDecoder(SpecCodec codec) {
        this.codec = codec;
    }

    /** Decodes an object. An invalid object is logged and skipped, so that its previous version stays active. */
    Optional<ConfigObject> decode(StoredObject object) {
        Optional<ObjectKind> kind = ObjectKind.ofCode(object.kind());
        return kind.flatMap(known -> decode(known, object));
    }

    private Optional<ConfigObject> decode(ObjectKind kind, StoredObject object) {
        try {
            ConfigSpec spec = object.spec() == null ? null : codec.decode(kind, object.name(), object.spec());
            ObjectKey key = new ObjectKey(kind, object.name());
            return Optional.of(new ConfigObject(key, object.version(), object.changeId(), spec));
        } catch (MasticfoldException | IllegalArgumentException e) {
            PlatformEvent.CONFIG_OBJECT_REFUSED.log(LOG, object.id(), object.version(), e.getMessage());
            return Optional.empty();
        }
    }
}
