package io.masticfold.core.order;

import io.masticfold.core.model.DesiredModel;
import org.jspecify.annotations.Nullable;

/**
 * Observed state of an engine, from its latest report.
 *
 * @param served model that the engine serves, or null if none
 * @param fencing highest fencing number that the engine has seen, or 0 if it does not report one
 * @param takenNanos time of measurement, in nanoseconds of the time source; reports arrive with a delay
 */
public record EngineView(@Nullable DesiredModel served, long fencing, long takenNanos) {

    /** Returns whether the engine has already loaded the weights that the desired state requires. */
    boolean holdsWeights(DesiredModel desired) {
        return served != null
                && served.model().equals(desired.model())
                && served.adapter().equals(desired.adapter())
                && served.version().equals(desired.version());
    }
}
