package io.masticfold.core.config;

import io.masticfold.core.model.ConfigSpec;
import org.jspecify.annotations.Nullable;

/**
 * Holds one version of a configuration object.
 *
 * @param key kind and name of the object
 * @param version version assigned by the store, from 1; it increases with each write to any object of the store
 * @param changeId id of the change that created this version
 * @param spec the specification, null if the object was deleted in this version
 */
public record ConfigObject(ObjectKey key, long version, String changeId, @Nullable ConfigSpec spec) {

    /** Validates the version and that the specification matches the key. */
    public ConfigObject {
        if (version < 1) {
            throw new IllegalArgumentException("version must be at least 1: " + version);
        }
        if (spec != null && (spec.kind() != key.kind() || !spec.name().equals(key.name()))) {
            throw new IllegalArgumentException("specification of " + spec.name() + " under key " + key);
        }
    }

    /** Returns whether the object was deleted in this version. */
    public boolean deleted() {
        return spec == null;
    }
}
