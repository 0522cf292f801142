package io.masticfold.core.order;

import io.masticfold.core.model.DesiredModel;
import org.jspecify.annotations.Nullable;

/**
 * Holds what an engine reports about the orders it carried out.
 *
 * @param served what it serves, null if nothing
 * @param fencing highest fencing number it has seen, 0 if it does not tell
 * @param takenNanos when the figures were taken, in nanoseconds on the axis of the time source; reports lag
 */
public record EngineView(@Nullable DesiredModel served, long fencing, long takenNanos) {

    /** Returns whether the engine holds the weights that a desired state needs. */
    boolean holdsWeights(DesiredModel desired) {
        return served != null
                && served.model().equals(desired.model())
                && served.adapter().equals(desired.adapter())
                && served.version().equals(desired.version());
    }
}
