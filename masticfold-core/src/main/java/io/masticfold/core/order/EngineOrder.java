package io.masticfold.core.order;

import io.masticfold.core.model.DesiredModel;

/**
 * Command to an engine to change the model that it serves.
 *
 * @param fencingNumber fencing number: the version of the target object in the configuration
 * @param model model that the engine is to serve
 * @param loadsWeights whether the engine has to load weights to carry out the order
 */
public record EngineOrder(long fencingNumber, DesiredModel model, boolean loadsWeights) {

    /** Validates the fencing number. */
    public EngineOrder {
        if (fencingNumber < 1) {
            throw new IllegalArgumentException("fencingNumber must be at least 1: " + fencingNumber);
        }
    }
}
