package io.masticfold.testkit.object;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/** Keeps versioned objects in memory; each write raises the store-wide revision. Not safe for several threads. */
final class ObjectStore {

    private final Map<String, StoredObject> objects = new HashMap<>();
    private final TreeMap<Long, StoredObject> byRevision = new TreeMap<>();
    private long revision;

    long revision() {
        return revision;
    }

    StoredObject object(String kind, String name) {
        StoredObject stored = objects.get(key(kind, name));
        return stored == null ? StoredObject.absent(kind, name) : stored;
    }

    /**
     * Writes a version if the current one is the expected one.
     *
     * @param spec the new specification, null to delete
     * @return the written object, empty on a conflict
     */
    Optional<StoredObject> write(
            String kind, String name, long expectedVersion, String changeId, @Nullable JsonNode spec) {
        StoredObject current = object(kind, name);
        if (current.expectedVersion() != expectedVersion) {
            return Optional.empty();
        }
        StoredObject written = new StoredObject(kind, name, ++revision, changeId, spec);
        byRevision.remove(current.version());
        byRevision.put(written.version(), written);
        objects.put(key(kind, name), written);
        return Optional.of(written);
    }

    /** Returns the objects written after a revision, oldest first; an empty set of kinds selects all. */
    List<StoredObject> since(long after, Set<String> kinds) {
        return byRevision.tailMap(after, false).values().stream()
                .filter(object -> kinds.isEmpty() || kinds.contains(object.kind()))
                .toList();
    }

    private static String key(String kind, String name) {
        return kind + '/' + name;
    }
}
