package io.masticfold.gateway.request;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.forward.ForwardRoute;
import io.masticfold.core.forward.WorkspaceSpec;
import io.masticfold.core.placement.PromptPrefix;
import io.masticfold.core.quarantine.RequestFingerprint;
import io.masticfold.core.routing.RendezvousHashing;
import io.masticfold.core.shutdown.GracefulShutdown;
import io.masticfold.core.stage.StagePieces;
import io.masticfold.core.time.Deadline;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.CallerListener;
import io.masticfold.gateway.http.CallerRequest;
import io.masticfold.gateway.http.CallerResponse;
import io.masticfold.gateway.http.RequestHandler;
import io.masticfold.gateway.limit.TargetRateLimits;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.protocol.CallerMetadata;
import io.masticfold.gateway.protocol.PromptPart;
import io.masticfold.gateway.quarantine.PoisonQuarantine;
import io.masticfold.gateway.resume.StreamVersionRegistry;
import io.masticfold.gateway.rollout.Rollouts;
import io.masticfold.gateway.stage.StageAdmissionQueue;
import io.masticfold.gateway.stage.StageDispatcher;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Routes the requests of callers and starts a {@link RequestRun} for each. Used by one thread. */
public final class ForwardHandler implements RequestHandler {

    /** Number of route priorities within one workspace priority. */
    private static final int ROUTE_PRIORITIES = 3;

    private final GatewayContext context;
    private final RequestServices services;
    private final Set<RequestRun> active = new LinkedHashSet<>();
    private long knownConfigVersion;

    /** Creates the handler. */
    public ForwardHandler(
            GatewayContext context,
            StageDispatcher stages,
            StageAdmissionQueue gate,
            TargetPools targets,
            PoisonQuarantine quarantine,
            StreamVersionRegistry versions,
            TargetRateLimits limits,
            Rollouts rollouts,
            GracefulShutdown shutdown,
            TargetAdmission admission) {
        this.context = context;
        this.services = new RequestServices(
                stages,
                gate,
                targets,
                new TargetRequestBuilder(context.protocol().headers()),
                quarantine,
                versions,
                limits,
                rollouts,
                shutdown,
                new RequestHedging(context),
                admission);
        quarantine.addListener(() -> List.copyOf(active).forEach(RequestRun::quarantineChanged));
    }

    @Override
    public CallerListener handle(CallerRequest request, CallerResponse response) {
        CallerMetadata metadata = context.protocol().decodeCaller(request.headers());
        if (context.pauseGuard().passes()) {
            return start(request, metadata, response);
        }
        return HeldRequest.hold(
                context,
                Duration.ofMillis(Math.max(0, metadata.deadlineMillis())),
                () -> start(request, metadata, response),
                () -> refuse(request, metadata, response, ErrorKind.OVERLOADED, "deadline passed after a pause"));
    }

    @Override
    public String workspace(HttpHeaders headers) {
        ForwardConfig config = context.view().config();
        return config == null
                ? ""
                : config.workspace(context.protocol().decodeApiKey(headers))
                        .map(WorkspaceSpec::name)
                        .orElse("");
    }

    @Override
    public void rejectForMemory(CallerRequest request, CallerResponse response) {
        context.telemetry().count("memory_rejected");
        refuse(
                request,
                context.protocol().decodeCaller(request.headers()),
                response,
                ErrorKind.OVERLOADED,
                "no memory for the body");
    }

    private CallerListener start(CallerRequest request, CallerMetadata metadata, CallerResponse response) {
        try {
            return route(request, metadata, response);
        } catch (RuntimeException e) {
            context.log()
                    .important(GatewayEvent.HANDLER_FAILED)
                    .addKeyValue("request", metadata.attemptId())
                    .setCause(e)
                    .log();
            return refuse(request, metadata, response, ErrorKind.INTERNAL, "internal error of the gateway");
        }
    }

    private CallerListener route(CallerRequest request, CallerMetadata metadata, CallerResponse response) {
        ForwardConfig config = context.view().config();
        if (config == null) {
            return refuse(request, metadata, response, ErrorKind.NO_CONFIGURATION, "no configuration has been loaded");
        }
        Optional<ForwardRoute> route = config.route(host(request), request.path());
        if (route.isEmpty()) {
            return refuse(
                    request,
                    metadata,
                    response,
                    unlessConfigStale(ErrorKind.UNKNOWN_PIPELINE),
                    "no route matches " + request.uri());
        }
        Optional<WorkspaceSpec> workspace = config.workspace(metadata.apiKey());
        if (!config.admits(route.get(), workspace)) {
            return refuse(request, metadata, response, unlessConfigStale(ErrorKind.UNAUTHENTICATED), "unknown API key");
        }
        if (metadata.attemptId().isEmpty() || metadata.deadlineMillis() < 0) {
            return refuse(
                    request,
                    metadata,
                    response,
                    ErrorKind.MALFORMED_REQUEST,
                    "attempt id or deadline is missing or malformed");
        }
        if (metadata.deadlineMillis() == 0) {
            return refuse(request, metadata, response, ErrorKind.DEADLINE_EXPIRED, "deadline has passed");
        }
        Optional<String> badPieces = route.get().stages().isEmpty()
                ? Optional.empty()
                : StagePieces.problem(
                        route.get().stages(),
                        metadata.stagePieces(),
                        metadata.stageKey(),
                        RequestStages.maxPieces(context.client().responseMemory()));
        if (badPieces.isPresent()) {
            return refuse(request, metadata, response, ErrorKind.MALFORMED_REQUEST, badPieces.get());
        }
        forgetRemovedRoutes(config);
        if (!services.shutdown().accepts(route.get().name(), window(metadata, route.get()))) {
            return refuse(request, metadata, response, ErrorKind.SHUTTING_DOWN, "gateway stops before it could answer");
        }
        RoutedRequest routed = routedRequest(request, metadata, config, route.get(), workspace);
        Optional<String> quarantined = services.quarantine().find(routed.suspects());
        if (quarantined.isPresent()) {
            return refuse(
                    request,
                    metadata,
                    response,
                    ErrorKind.QUARANTINED,
                    TargetSelection.quarantined(quarantined.get()).detail());
        }
        RequestRun run = new RequestRun(context, services, routed, response, active::remove);
        active.add(run);
        run.start();
        return run;
    }

    private void forgetRemovedRoutes(ForwardConfig config) {
        if (config.version() != knownConfigVersion) {
            knownConfigVersion = config.version();
            services.shutdown().retainRoutes(config.routeNames());
            services.hedging().retainRoutes(config.routeNames());
            services.admission().retainRoutes(config.routeNames());
        }
    }

    private static Duration window(CallerMetadata metadata, ForwardRoute route) {
        return Duration.ofMillis(
                Math.min(metadata.deadlineMillis(), route.timeout().toMillis()));
    }

    /** Returns the kind, or {@link ErrorKind#NO_CONFIGURATION} if a newer configuration may hold the route or key. */
    private ErrorKind unlessConfigStale(ErrorKind kind) {
        return context.view().stale(context.scheduler().nanoTime()) ? ErrorKind.NO_CONFIGURATION : kind;
    }

    /** Refuses every request without a send in progress, since the gateway is shutting down. */
    public void refuseUnsent() {
        List.copyOf(active).forEach(RequestRun::refuseUnsent);
    }

    /** Ends every request, since the process exits. Callers without an answer get one; streams are broken off. */
    public void endAll() {
        List.copyOf(active).forEach(RequestRun::endBeforeExit);
    }

    private RoutedRequest routedRequest(
            CallerRequest request,
            CallerMetadata metadata,
            ForwardConfig config,
            ForwardRoute route,
            Optional<WorkspaceSpec> workspace) {
        Duration window = window(metadata, route);
        String workspaceName =
                route.publicAccess() ? "" : workspace.map(WorkspaceSpec::name).orElse("");
        return new RoutedRequest(
                request,
                metadata,
                route,
                pool(metadata, route),
                workspaceName,
                RequestFingerprint.of(
                        request.method().name(), host(request), request.uri(), workspaceName, request.body()),
                priority(route, workspace),
                route.cacheAffinity() ? promptKey(metadata) : PromptPrefix.UNKNOWN,
                new Deadline(request.receivedNanos() + window.toNanos()),
                new Deadline(request.receivedNanos()
                        + route.firstAnswerWindow(window).toNanos()),
                config.version());
    }

    /** Returns the pool in which a stream that is taken up began, if the route still has it, or a random one. */
    private String pool(CallerMetadata metadata, ForwardRoute route) {
        return services.versions()
                .pool(metadata.resumedAttempt())
                .filter(pool ->
                        route.pools().stream().anyMatch(share -> share.pool().equals(pool)))
                .orElseGet(() -> route.choosePool(ThreadLocalRandom.current().nextDouble()));
    }

    private static int priority(ForwardRoute route, Optional<WorkspaceSpec> workspace) {
        int priority = workspace
                .map(WorkspaceSpec::priority)
                .filter(own -> own != WorkspaceSpec.NO_PRIORITY)
                .orElseGet(route::priority);
        return priority * ROUTE_PRIORITIES + Math.min(ROUTE_PRIORITIES - 1, route.priority());
    }

    private static PromptPrefix promptKey(CallerMetadata metadata) {
        List<PromptPart> parts = metadata.promptParts();
        long hash = 0;
        int shared = 0;
        int total = 0;
        for (int i = 0; i < parts.size(); i++) {
            total += parts.get(i).tokens();
            if (i < parts.size() - 1) {
                shared += parts.get(i).tokens();
                hash = RendezvousHashing.weight(hash, parts.get(i).id());
            }
        }
        return new PromptPrefix(hash, shared, Math.max(total, metadata.promptTokens()));
    }

    private static String host(CallerRequest request) {
        String host = request.headers().get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
        int port = host.lastIndexOf(':');
        return port < 0 || host.endsWith("]") ? host : host.substring(0, port);
    }

    private CallerListener refuse(
            CallerRequest request, CallerMetadata metadata, CallerResponse response, ErrorKind kind, String detail) {
        Duration wait = kind == ErrorKind.QUARANTINED ? TargetSelection.QUARANTINE_RETRY_AFTER : Duration.ZERO;
        new FinalResponse(context, response)
                .refuse(kind, Ran.NO, Duration.ofMillis(Math.max(0, metadata.deadlineMillis())), wait, detail);
        context.log()
                .important(GatewayEvent.REQUEST_REFUSED)
                .addKeyValue("request", metadata.attemptId())
                .addKeyValue("method", request.method())
                .addKeyValue("outcome", kind.code())
                .addKeyValue("detail", detail)
                .log();
        return CallerListener.NONE;
    }
}
