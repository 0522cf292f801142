package io.masticfold.core.config;

import io.masticfold.core.model.ObjectKind;
import java.util.Comparator;

/**
 * Identifies a configuration object.
 *
 * @param kind kind of the object
 * @param name name of the object, unique within its kind
 */
public record ObjectKey(ObjectKind kind, String name) implements Comparable<ObjectKey> {

    private static final Comparator<ObjectKey> ORDER =
            Comparator.comparing(ObjectKey::kind).thenComparing(ObjectKey::name);

    @Override
    public int compareTo(ObjectKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.code() + '/' + name;
    }
}
