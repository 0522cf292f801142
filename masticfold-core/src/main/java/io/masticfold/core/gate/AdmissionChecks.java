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
 * Checks whether an attempt is admissible, apart from the concurrency and queue limits. The same checks are made when
 * an attempt arrives and immediately before the target is called.
 */
final class AdmissionChecks {

    /**
     * Maximum time since the last completed round trip with an entry for new work to be admitted. Heartbeats complete a
     * round trip within about a second, and a configuration change must stop new work within two seconds.
     */
    static final Duration MAX_CONTACT_AGE = Duration.ofMillis(1_500);

    private final AgentGateSettings settings;
    private final ConfigReplica config;
    private final TimeSource time;
    private volatile boolean leaving;

    AdmissionChecks(AgentGateSettings settings, ConfigReplica config, TimeSource time) {
        this.settings = settings;
        this.config = config;
        this.time = time;
    }

    void startLeaving() {
        leaving = true;
    }

    TargetBounds targetBounds() {
        return config.snapshot().target(settings.target()).map(TargetBounds::of).orElse(TargetBounds.ADMITS_NOTHING);
    }

    /** Returns the reason to refuse an attempt, or null if it may run. */
    @Nullable
    ErrorKind refusalReason(StageDispatch dispatch, Deadline deadline) {
        ConfigSnapshot snapshot = config.snapshot();
        Optional<Target> target = snapshot.target(settings.target());
        Optional<Zone> zone = target.flatMap(known -> snapshot.zone(known.zone()));
        if (target.isEmpty() || zone.isEmpty()) {
            return ErrorKind.NO_CONFIGURATION;
        }
        if (isContactLost()) {
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
        return budgetRefusalReason(dispatch, deadline);
    }

    /**
     * Returns whether the configuration may be out of date because no round trip with an entry has completed recently.
     * After the process was suspended, its connections can hold dispatches that were sent before a configuration change
     * that it has not read yet, so it admits no work until a round trip that began after the pause has completed.
     */
    private boolean isContactLost() {
        OptionalLong age = config.roundTripAgeNanos(time.nanoTime());
        return age.isPresent() && age.getAsLong() > MAX_CONTACT_AGE.toNanos();
    }

    /** Returns the reason to refuse an attempt because of its remaining budget, or null if the budget suffices. */
    @Nullable
    ErrorKind budgetRefusalReason(StageDispatch dispatch, Deadline deadline) {
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
