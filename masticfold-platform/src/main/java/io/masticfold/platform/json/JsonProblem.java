package io.masticfold.platform.json;

import org.jspecify.annotations.Nullable;

/**
 * A problem in a JSON text.
 *
 * @param source name of the file or of the origin of the text
 * @param line line of the key or value, from 1
 * @param path JSON path of the key, {@code $} for the root
 * @param value the invalid value as JSON, null if the problem does not concern a value
 * @param message description of the problem and of the accepted values
 */
public record JsonProblem(String source, int line, String path, @Nullable String value, String message) {

    private static final int MAX_VALUE_CHARS = 120;

    /** Truncates a long value. */
    public JsonProblem {
        if (value != null && value.length() > MAX_VALUE_CHARS) {
            value = value.substring(0, MAX_VALUE_CHARS) + "...";
        }
    }

    @Override
    public String toString() {
        String found = value == null ? "" : ", found " + value;
        return source + ":" + line + ": " + path + ": " + message + found;
    }
}
