package io.masticfold.core.check;

/**
 * A difference between two configurations.
 *
 * @param type whether the part was added, removed or changed
 * @param section part that differs
 * @param name name of the part; empty for parts that exist once
 * @param property property that differs; the whole part if it was added or removed
 * @param before value in the earlier configuration; empty if there is none or it must not be printed
 * @param after value in the later configuration; empty if there is none or it must not be printed
 */
public record ConfigChange(
        Type type, ConfigSection section, String name, ConfigProperty property, String before, String after) {

    /** Kinds of differences. */
    public enum Type {
        ADDED,
        REMOVED,
        CHANGED
    }
}
