package io.masticfold.gateway.request;

import io.masticfold.core.admission.AdmissionOutlook;
import io.masticfold.core.admission.AdmissionRequest;
import io.masticfold.core.admission.AdmissionVerdict;
import io.masticfold.core.admission.PoolAdmission;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.hedge.RecentAnswerTimes;
import io.masticfold.core.placement.PoolForecast;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.log.GatewayEvent;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Supplier;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Holds the requests that wait for a target of a pool, and starts or refuses them when a request of this gateway at the
 * pool ends or a timer fires. Pools whose targets report no pace are not affected. Used by one thread.
 */
public final class TargetAdmission {

    /** Interval of the checks, within which slots that other gateways free are noticed. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(40);

    /** Share of a route's recent answers that take at most its usual time. */
    private static final double USUAL_QUANTILE = 0.5;

    /** A route is known once one answer lies beyond this quantile, that is after ten answers. */
    private static final double KNOWN_QUANTILE = 0.9;

    private static final PoolForecast UNKNOWN = new PoolForecast(0, 0, 0, Duration.ZERO, Duration.ZERO);

    private final GatewayContext context;
    private final TargetPools targets;
    private final Supplier<Duration> loopDelay;
    private final Map<String, PoolAdmission<RequestAdmission>> pools = new HashMap<>();
    private final Map<String, RecentAnswerTimes> answerTimes = new HashMap<>();
    private boolean checkScheduled;

    /**
     * Creates an admission without waiting requests.
     *
     * @param loopDelay supplies the delay of the event loop
     */
    public TargetAdmission(GatewayContext context, TargetPools targets, Supplier<Duration> loopDelay) {
        this.context = context;
        this.targets = targets;
        this.loopDelay = loopDelay;
    }

    /** Returns the number of waiting requests. */
    public int waiting() {
        return pools.values().stream().mapToInt(PoolAdmission::waiting).sum();
    }

    /** Decides on a request without queueing it. */
    AdmissionVerdict preview(RequestAdmission request) {
        AdmissionOutlook outlook = outlook(request);
        AdmissionVerdict verdict = pool(request).preview(described(request), outlook);
        recordRejected(request, verdict, outlook);
        return verdict;
    }

    /** Decides on a request; it is queued if it has to wait. */
    AdmissionVerdict submit(RequestAdmission request) {
        AdmissionOutlook outlook = outlook(request);
        AdmissionVerdict verdict = pool(request).submit(described(request), outlook);
        recordRejected(request, verdict, outlook);
        if (verdict instanceof AdmissionVerdict.Wait wait) {
            request.waitsSince(context.scheduler().nanoTime());
            context.telemetry().count("admission_waited");
            line(GatewayEvent.REQUEST_WAITS_FOR_TARGET, request)
                    .addKeyValue("longestMillis", wait.longest().toMillis())
                    .addKeyValue("waiting", pool(request).waiting())
                    .log();
            scheduleCheck();
        }
        return verdict;
    }

    /** Removes a request that has ended; if it was sent, the next one may start. */
    void ended(RequestAdmission request, boolean sent) {
        PoolAdmission<RequestAdmission> pool = pools.get(request.routed().pool());
        if (pool == null) {
            return;
        }
        pool.remove(request);
        if (sent) {
            pool.sentEnded();
        }
        if (sent && pool.waiting() > 0) {
            context.scheduler().schedule(Duration.ZERO, () -> check(pool));
        }
    }

    /** Records the time that a request of a route took at its target until its complete answer. */
    void recordAnswer(RoutedRequest routed, Duration own) {
        if (targets.loads().paced(routed.pool())) {
            answerTimes
                    .computeIfAbsent(
                            routed.route().name(),
                            _route -> new RecentAnswerTimes(
                                    context.scheduler(), context.settings().retryWindow()))
                    .record(own);
            pool(routed.pool()).recordAnswer();
        }
    }

    /** Returns the time until a target is expected to start a request that is sent now; zero if unknown. */
    Duration expectedStart(RequestAdmission request) {
        return forecast(request).map(PoolForecast::timeToStart).orElse(Duration.ZERO);
    }

    /** Forgets the routes that the configuration does not have any more. */
    void retainRoutes(Set<String> routes) {
        answerTimes.keySet().retainAll(routes);
    }

    private void scheduleCheck() {
        if (!checkScheduled) {
            checkScheduled = true;
            context.scheduler().schedule(CHECK_INTERVAL, this::checkAll);
        }
    }

    private void checkAll() {
        checkScheduled = false;
        try {
            List.copyOf(pools.values()).forEach(this::check);
        } finally {
            if (waiting() > 0) {
                scheduleCheck();
            }
        }
    }

    private void check(PoolAdmission<RequestAdmission> pool) {
        int starts = 0;
        while (pool.waiting() > 0 && context.pauseGuard().passes()) {
            Optional<PoolAdmission.Decided<RequestAdmission>> decided = pool.next(this::outlook, starts);
            if (decided.isEmpty()) {
                return;
            }
            RequestAdmission request = decided.get().handle();
            if (decided.get().verdict() instanceof AdmissionVerdict.Send) {
                starts++;
                long waited = context.scheduler().nanoTime() - request.waitsSinceNanos();
                line(GatewayEvent.WAITING_REQUEST_ADMITTED, request)
                        .addKeyValue("waitedMillis", Duration.ofNanos(waited).toMillis())
                        .log();
            } else {
                recordRejected(request, decided.get().verdict(), outlook(request));
            }
            request.apply(decided.get().verdict());
        }
    }

    private void recordRejected(RequestAdmission request, AdmissionVerdict verdict, AdmissionOutlook outlook) {
        if (!(verdict instanceof AdmissionVerdict.Reject reject)) {
            return;
        }
        context.telemetry().count("admission_rejected_" + reject.reason().code());
        PoolForecast forecast = outlook.forecast().orElse(UNKNOWN);
        context.log()
                .important(GatewayEvent.REQUEST_NOT_ADMITTED)
                .addKeyValue("request", request.routed().metadata().attemptId())
                .addKeyValue("pool", request.routed().pool())
                .addKeyValue("reason", reject.reason().code())
                .addKeyValue("priority", request.routed().priority())
                .addKeyValue("retryAfterMillis", reject.retryAfter().toMillis())
                .addKeyValue(
                        "leftMillis",
                        request.routed()
                                .deadline()
                                .remaining(context.scheduler())
                                .toMillis())
                .addKeyValue("usualMillis", usual(request).orElse(Duration.ZERO).toMillis())
                .addKeyValue("loopDelayMillis", outlook.loopDelay().toMillis())
                .addKeyValue("slots", forecast.slots())
                .addKeyValue("running", forecast.running())
                .addKeyValue("waitingAtTargets", forecast.waiting())
                .addKeyValue("startMillis", forecast.timeToStart().toMillis())
                .addKeyValue("waiting", pool(request).waiting())
                .log();
    }

    private LoggingEventBuilder line(GatewayEvent event, RequestAdmission request) {
        return context.log()
                .routine(event)
                .addKeyValue("request", request.routed().metadata().attemptId())
                .addKeyValue("pool", request.routed().pool());
    }

    private PoolAdmission<RequestAdmission> pool(RequestAdmission request) {
        return pool(request.routed().pool());
    }

    private PoolAdmission<RequestAdmission> pool(String name) {
        return pools.computeIfAbsent(
                name, _name -> new PoolAdmission<>(context.scheduler(), ThreadLocalRandom.current()));
    }

    private AdmissionRequest<RequestAdmission> described(RequestAdmission request) {
        RoutedRequest routed = request.routed();
        String workspace =
                routed.workspace().isEmpty() ? "route " + routed.route().name() : routed.workspace();
        return new AdmissionRequest<>(
                request,
                routed.priority(),
                workspace,
                routed.fingerprint(),
                usual(request),
                routed.deadline().expiryNanos());
    }

    private Optional<Duration> usual(RequestAdmission request) {
        RecentAnswerTimes times = answerTimes.get(request.routed().route().name());
        return times == null || times.quantile(KNOWN_QUANTILE).isEmpty()
                ? Optional.empty()
                : times.quantile(USUAL_QUANTILE);
    }

    private AdmissionOutlook outlook(RequestAdmission request) {
        return new AdmissionOutlook(
                forecast(request), loopDelay.get(), context.view().sharingGateways());
    }

    private Optional<PoolForecast> forecast(RequestAdmission request) {
        RoutedRequest routed = request.routed();
        ForwardConfig config = context.view().config();
        return config == null
                ? Optional.empty()
                : config.pool(routed.pool()).flatMap(spec -> targets.pool(routed.pool())
                        .forecast(spec, routed, context.view().sharingGateways()));
    }
}
