package io.masticfold.gateway.request;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.forward.PoolSpec;
import io.masticfold.core.forward.RequestKind;
import io.masticfold.core.quarantine.SuspectKind;
import io.masticfold.core.resume.VersionRequirement;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.rollout.VersionFilter;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

/** Decides whether a request may be sent now and to which target, with all bounds in one order. */
final class TargetSelection {

    /** Delay told to the caller of a quarantined request. */
    static final Duration QUARANTINE_RETRY_AFTER = Duration.ofSeconds(30);

    /** Delay told to the caller of a stream whose software version has left. */
    private static final Duration VERSION_GONE_RETRY_AFTER = Duration.ofSeconds(30);

    private final GatewayContext context;
    private final RequestServices services;

    TargetSelection(GatewayContext context, RequestServices services) {
        this.context = context;
        this.services = services;
    }

    /**
     * Chooses the target of the next send.
     *
     * @param history sends of the request so far
     * @param version software version that the target must have
     * @param resultBytes size of the stage results that the request reads, in bytes, by availability zone
     */
    TargetChoice choose(
            RoutedRequest routed, SendHistory history, VersionRequirement version, Map<String, Long> resultBytes) {
        Optional<String> quarantined = services.quarantine().find(routed.suspects());
        if (quarantined.isPresent()) {
            return quarantined(quarantined.get());
        }
        Optional<TargetChoice> notResumable = notResumable(routed, version);
        if (notResumable.isPresent()) {
            return notResumable.get();
        }
        ForwardConfig config = context.view().config();
        Optional<PoolSpec> spec = config == null ? Optional.empty() : config.pool(routed.pool());
        if (spec.isEmpty()) {
            return TargetChoice.none(ErrorKind.NO_TARGET, "pool " + routed.pool() + " is not configured");
        }
        TargetPool pool = services.targets().pool(routed.pool());
        Optional<TargetTracker> target = choose(pool, spec.get(), routed, history, version, resultBytes);
        if (target.isEmpty()) {
            return pool.waitForLimit(history.failedTargets())
                    .map(wait -> TargetChoice.none(
                            ErrorKind.TARGET_LIMITED, "targets in pool " + routed.pool() + " are limited", wait))
                    .orElseGet(
                            () -> TargetChoice.none(ErrorKind.NO_TARGET, "no usable target in pool " + routed.pool()));
        }
        return history.permitTarget(target.get(), context.scheduler().nanoTime())
                ? TargetChoice.of(target.get())
                : TargetChoice.none(
                        ErrorKind.TARGET_UNREACHABLE, "targets in pool " + routed.pool() + " cannot be reached");
    }

    private Optional<TargetTracker> choose(
            TargetPool pool,
            PoolSpec spec,
            RoutedRequest routed,
            SendHistory history,
            VersionRequirement version,
            Map<String, Long> resultBytes) {
        int gateways = context.view().sharingGateways();
        VersionFilter rollout = services.rollouts().filter(routed.pool());
        Predicate<TargetRecord> excluded = target -> history.failedTargets().contains(target.id())
                || !version.allows(target)
                || !rollout.permitted().test(target);
        boolean begins =
                version.kind() == VersionRequirement.Kind.NONE && routed.route().kind() == RequestKind.RESUMABLE_STREAM;
        Predicate<TargetRecord> unrecorded =
                target -> begins && !services.versions().mayBeginStreams(target);
        return Stream.of(
                        excluded.or(unrecorded).or(rollout.preferred().negate()),
                        excluded.or(unrecorded),
                        excluded.or(rollout.preferred().negate()),
                        excluded)
                .flatMap(unusable -> pool.choose(spec, routed, resultBytes, unusable, gateways).stream())
                .findFirst();
    }

    /**
     * Chooses the target of a second send while the first is in progress; empty unless there is one that is neither
     * used, cold nor suspect.
     *
     * @param used ids of the targets that have the request
     */
    Optional<TargetTracker> chooseSecond(
            RoutedRequest routed, Set<String> used, VersionRequirement version, Map<String, Long> resultBytes) {
        long now = context.scheduler().nanoTime();
        ForwardConfig config = context.view().config();
        Optional<PoolSpec> spec = config == null ? Optional.empty() : config.pool(routed.pool());
        return spec.flatMap(pool -> services.targets()
                        .pool(routed.pool())
                        .choose(
                                pool,
                                routed,
                                resultBytes,
                                target -> used.contains(target.id())
                                        || !version.allows(target)
                                        || !services.rollouts()
                                                .filter(routed.pool())
                                                .permitted()
                                                .test(target),
                                context.view().sharingGateways()))
                .filter(target -> !target.cold(now) && !target.suspect(now));
    }

    /** Returns the refusal of a stream that cannot go on at the version that it requires; empty if it can. */
    Optional<TargetChoice> notResumable(RoutedRequest routed, VersionRequirement version) {
        return switch (version.kind()) {
            case NONE -> Optional.empty();
            case UNKNOWN ->
                Optional.of(TargetChoice.none(
                        ErrorKind.STREAM_ORIGIN_UNKNOWN,
                        "the software version that began the stream of attempt "
                                + routed.metadata().resumedAttempt() + " is not known"));
            case EXACTLY -> {
                boolean serves = context.view().directory().usable(routed.pool()).stream()
                        .anyMatch(version::allows);
                yield serves
                        ? Optional.empty()
                        : Optional.of(TargetChoice.none(
                                ErrorKind.STREAM_VERSION_GONE,
                                "no target of software version " + version.version() + " serves any more",
                                VERSION_GONE_RETRY_AFTER));
            }
        };
    }

    /** Returns the refusal of a request that is quarantined or whose prompt has a quarantined part. */
    static TargetChoice quarantined(String suspect) {
        String what = SuspectKind.of(suspect) == SuspectKind.REQUEST ? suspect : "prompt part " + suspect;
        return TargetChoice.none(ErrorKind.QUARANTINED, what + " is quarantined", QUARANTINE_RETRY_AFTER);
    }
}
