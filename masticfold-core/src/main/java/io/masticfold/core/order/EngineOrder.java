package io.masticfold.core.order;

import io.masticfold.core.model.DesiredModel;

/**
 * Command to an engine to change the model that it serves.
 *
 * @param fencing fencing number: the version of the target object in the configuration
 * @param desired model that the engine is to serve
 * @param loads whether the engine has to load weights to carry out the order
 */
public record EngineOrder(long fencing, DesiredModel desired, boolean loads) {

    /** Validates the fencing number. */
    public EngineOrder {
        if (fencing < 1) {
            throw new IllegalArgumentException("fencing must be at least 1: " + fencing);
        }
    }
}
