package io.masticfold.core.order;

import io.masticfold.core.model.DesiredModel;

/**
 * Holds an order to an engine.
 *
 * @param fencing fencing number, the version of the target object
 * @param desired what the engine should serve
 * @param loads whether the engine has to load weights for it
 */
public record EngineOrder(long fencing, DesiredModel desired, boolean loads) {

    /** Checks the fencing number. */
    public EngineOrder {
        if (fencing < 1) {
            throw new IllegalArgumentException("fencing must be at least 1: " + fencing);
        }
    }
}
