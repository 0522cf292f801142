package io.masticfold.core.gate;

import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.Zone;
import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Checks whether an attempt may run now, apart from limits. The same checks are made at arrival and directly before the
 * call to the target leaves.
 */
final class GateChecks {

    /**
     * Longest time since the latest round trip with an entry at which work is taken. Heartbeats complete one within
     * about a second; a change must stop new work within two seconds.
     */
    static final Duration CONTACT_BOUND = Duration.ofMillis(1_500);

    private final AgentGateSettings settings;
    private final ConfigReplica config;
    private final TimeSource time;
    private volatile boolean leaving;

    GateChecks(AgentGateSettings settings, ConfigReplica config, TimeSource time) {
        this.settings = settings;
        this.config = config;
        this.time = time;
    }

    void startLeaving() {
        leaving = true;
    }

    GateBounds bounds() {
        return config.snapshot().target(settings.target()).map(GateBounds::of).orElse(GateBounds.NONE);
    }

    /** Returns the reason to refuse an attempt, null if it may run. */
    @Nullable
    ErrorKind refusal(StageDispatch dispatch, Deadline deadline) {
        ConfigSnapshot snapshot = config.snapshot();
        Optional<Target> target = snapshot.target(settings.target());
        Optional<Zone> zone = target.flatMap(known -> snapshot.zone(known.zone()));
        if (target.isEmpty() || zone.isEmpty()) {
            return ErrorKind.NO_CONFIGURATION;
        }
        if (outOfContact()) {
            return ErrorKind.NO_CONFIGURATION;
        }
        if (!dispatch.agent().equals(settings.incarnation())) {
            return ErrorKind.STALE_INCARNATION;
        }
        if (!dispatch.target().equals(settings.target())) {
            return ErrorKind.TARGET_UNREACHABLE;
        }
        if (!zone.get().state().acceptsNewWork()) {
            return ErrorKind.ZONE_OUT;
        }
        if (leaving || !target.get().state().acceptsNewWork()) {
            return ErrorKind.TARGET_LEAVING;
        }
        return budgetRefusal(dispatch, deadline);
    }

    /**
     * A process that was frozen finds dispatches in its connections that were sent before a change it has not read yet.
     * Until a round trip that began after the pause has completed, it cannot know and takes no new work.
     */
    private boolean outOfContact() {
        OptionalLong age = config.roundTripAgeNanos(time.nanoTime());
        return age.isPresent() && age.getAsLong() > CONTACT_BOUND.toNanos();
    }

    /** Returns the reason to refuse an attempt for its remaining budget, null if the budget is enough. */
    @Nullable
    ErrorKind budgetRefusal(StageDispatch dispatch, Deadline deadline) {
        long remainingNanos = deadline.remainingNanos(time);
        if (remainingNanos <= 0) {
            return ErrorKind.DEADLINE_EXPIRED;
        }
        return remainingNanos < minimumNanos(dispatch) ? ErrorKind.BUDGET_TOO_SHORT : null;
    }

    static long minimumNanos(StageDispatch dispatch) {
        return TimeUnit.MICROSECONDS.toNanos(dispatch.minimumMicros());
    }
}
