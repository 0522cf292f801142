package io.masticfold.core.config;

import io.masticfold.core.model.ConfigSpec;
import org.jspecify.annotations.Nullable;

/**
 * Holds one version of a configuration object.
 *
 * @param key identity of the object
 * @param version version the store gave, growing over all objects of the store, from 1
 * @param changeId id of the change that wrote this version
 * @param spec the specification, null for a tombstone
 */
public record ConfigObject(ObjectKey key, long version, String changeId, @Nullable ConfigSpec spec) {

    /** Checks that key and specification agree. */
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
