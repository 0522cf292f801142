package io.masticfold.core.order;

import io.masticfold.core.model.DesiredModel;
import org.jspecify.annotations.Nullable;

/**
 * Observed state of an engine, from its latest report.
 *
 * @param servedModel model that the engine serves, or null if none
 * @param fencingNumber highest fencing number that the engine has seen, or 0 if it does not report one
 * @param measuredNanos time of measurement, in nanoseconds of the time source; reports arrive with a delay
 */
public record ObservedState(@Nullable DesiredModel servedModel, long fencingNumber, long measuredNanos) {

    /** Returns whether the engine has already loaded the weights that the desired state requires. */
    boolean holdsWeights(DesiredModel desired) {
        return servedModel != null
                && servedModel.model().equals(desired.model())
                && servedModel.adapter().equals(desired.adapter())
                && servedModel.version().equals(desired.version());
    }
}
