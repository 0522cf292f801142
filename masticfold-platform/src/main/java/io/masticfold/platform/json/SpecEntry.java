package io.masticfold.platform.json;

import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.model.ConfigSpec;

/**
 * A specification and its location in the source text.
 *
 * @param source name of the file or of the origin of the text
 * @param line line of the object, from 1
 * @param path JSON path of the object
 * @param version version the object may replace, 0 if the text has no version
 * @param spec the specification
 */
public record SpecEntry(String source, int line, String path, long version, ConfigSpec spec) {

    /** Returns the key of the object. */
    public ObjectKey key() {
        return new ObjectKey(spec.kind(), spec.name());
    }

    /** Creates a problem located in this object. */
    JsonProblem problem(String field, String value, String message) {
        return new JsonProblem(source, line, path + ".spec." + field, '"' + value + '"', message);
    }
}
