package io.masticfold.cli.bench;

import java.util.Map;

/**
 * Describes a part of the load.
 *
 * @param seconds length of the part, in seconds
 * @param perSecond requests per second of each workspace at its end; the rate moves linearly from the part before
 * @param ramp whether the rate moves from the part before or jumps at once
 */
record Phase(double seconds, Map<BenchWorkspace, Double> perSecond, boolean ramp) {

    /** Copies the map. */
    Phase {
        perSecond = Map.copyOf(perSecond);
    }

    double rate(BenchWorkspace workspace) {
        return perSecond.getOrDefault(workspace, 0.0);
    }
}
