package io.masticfold.core.model;

/**
 * Describes the model that an engine should serve.
 *
 * @param model name of the model object
 * @param adapter name of the adapter, empty if none
 * @param version version of the model
 * @param role role of the engine, for example {@code both}, {@code prefill} or {@code decode}
 */
public record DesiredModel(String model, String adapter, String version, String role) {

    /** Validates the name of the model. */
    public DesiredModel {
        SpecChecks.checkName("model", model);
    }
}
