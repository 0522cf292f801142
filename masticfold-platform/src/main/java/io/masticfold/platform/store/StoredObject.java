package io.masticfold.platform.store;

import org.jspecify.annotations.Nullable;

/**
 * One version of an object in the object API.
 *
 * @param kind code of the object kind
 * @param name name, unique within the kind
 * @param version version of the object, taken from a counter that increases across all objects of the store
 * @param changeId id of the change that wrote this version
 * @param spec the specification as JSON text, null for a tombstone
 */
public record StoredObject(String kind, String name, long version, String changeId, @Nullable String spec) {

    /** Returns the id in the form {@code kind/name}. */
    public String id() {
        return kind + '/' + name;
    }

    /** Returns whether this version is a tombstone. */
    public boolean deleted() {
        return spec == null;
    }

    @Override
    public String toString() {
        return id() + " version " + version + " by change " + changeId;
    }
}
