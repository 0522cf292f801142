package io.masticfold.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the target of a plain service: the least loaded relative to its slots, the own zone first among equals. */
public final class LeastLoadedPlacement {

    private static final Comparator<TargetLoadView> ORDER = Comparator.comparing(TargetLoadView::suspect)
            .thenComparingDouble(LeastLoadedPlacement::load)
            .thenComparing(view -> !view.sameZone())
            .thenComparing(view -> view.target().id());

    private LeastLoadedPlacement() {}

    /** Chooses a target; empty if there is none. */
    public static Optional<TargetLoadView> choose(List<TargetLoadView> targets) {
        return targets.stream().min(ORDER);
    }

    private static double load(TargetLoadView view) {
        int running = Math.max(view.inFlight(), view.reportedRunning() + view.reportedWaiting());
        return (double) running / Math.max(1, view.target().slots());
    }
}
