package io.masticfold.core.model;

/**
 * Describes a model in the weight store.
 *
 * @param name name of the model
 * @param version current version
 * @param weightBytes size of the weights, in bytes
 */
public record Model(String name, String version, long weightBytes) implements ConfigSpec {

    /** Validates the specification. */
    public Model {
        SpecChecks.checkName("model", name);
        if (weightBytes < 1) {
            throw new IllegalArgumentException("weightBytes must be at least 1: " + weightBytes);
        }
    }

    @Override
    public ObjectKind kind() {
        return ObjectKind.MODEL;
    }
}
