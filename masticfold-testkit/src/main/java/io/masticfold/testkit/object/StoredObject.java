package io.masticfold.testkit.object;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticfold.testkit.http.JsonSupport;
import org.jspecify.annotations.Nullable;

/**
 * Holds one version of an object.
 *
 * @param kind kind of the object
 * @param name name, unique within the kind
 * @param version store-wide revision that wrote it, 0 if it was never written
 * @param changeId id of the change that wrote it
 * @param spec the specification, null for a tombstone
 */
record StoredObject(String kind, String name, long version, String changeId, @Nullable JsonNode spec) {

    static StoredObject absent(String kind, String name) {
        return new StoredObject(kind, name, 0, "", null);
    }

    boolean deleted() {
        return spec == null;
    }

    /** Returns the version a conditional update has to expect: 0 if the object is absent or deleted. */
    long expectedVersion() {
        return deleted() ? 0 : version;
    }

    ObjectNode envelope() {
        ObjectNode envelope = JsonSupport.object()
                .put("kind", kind)
                .put("name", name)
                .put("version", version)
                .put("changeId", changeId);
        if (spec == null) {
            envelope.put("deleted", true);
        } else {
            envelope.set("spec", spec);
        }
        return envelope;
    }
}
