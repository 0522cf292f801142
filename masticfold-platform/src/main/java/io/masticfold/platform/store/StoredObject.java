package io.masticfold.platform.store;

import org.jspecify.annotations.Nullable;

/**
 * Holds one version of an object as the object API has it.
 *
 * @param kind code of the kind
 * @param name name, unique within the kind
 * @param version version of the object, growing over all objects of the store
 * @param changeId id of the change that wrote this version
 * @param spec the specification as JSON text, null for a tombstone
 */
public record StoredObject(String kind, String name, long version, String changeId, @Nullable String spec) {

    /** Returns kind and name, {@code kind/name}. */
    public String id() {
        return kind + '/' + name;
    }

    /** Returns whether the object was deleted in this version. */
    public boolean deleted() {
        return spec == null;
    }

    @Override
    public String toString() {
        return id() + " version " + version + " by change " + changeId;
    }
}
