package io.masticfold.core.placement;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses the target with the lowest load relative to its slots; ties prefer the gateway's own zone. */
public final class LeastLoadedPlacement {

    private static final Comparator<TargetLoadView> ORDER = Comparator.comparing(TargetLoadView::recentlyFailed)
            .thenComparingDouble(LeastLoadedPlacement::load)
            .thenComparing(view -> !view.sameZone())
            .thenComparing(view -> view.target().id());

    private LeastLoadedPlacement() {}

    /** Returns the least loaded target, empty if there is none. */
    public static Optional<TargetLoadView> choose(List<TargetLoadView> targets) {
        return targets.stream().min(ORDER);
    }

    private static double load(TargetLoadView view) {
        int running = Math.max(view.inFlight(), view.reportedRunning() + view.reportedWaiting());
        return (double) running / Math.max(1, view.target().slots());
    }
}
