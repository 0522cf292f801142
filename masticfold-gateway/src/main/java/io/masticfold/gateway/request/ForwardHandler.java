package io.masticfold.gateway.request;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.forward.ForwardConfig;
import io.masticfold.core.forward.ForwardRoute;
import io.masticfold.core.forward.WorkspaceSpec;
import io.masticfold.core.placement.PromptKey;
import io.masticfold.core.routing.RendezvousSupport;
import io.masticfold.core.time.Deadline;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.CallerAnswer;
import io.masticfold.gateway.http.CallerListener;
import io.masticfold.gateway.http.CallerRequest;
import io.masticfold.gateway.http.RequestHandler;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.protocol.CallerMetadata;
import io.masticfold.gateway.protocol.PromptPart;
import io.masticfold.gateway.stage.StageAdmissionQueue;
import io.masticfold.gateway.stage.StageDispatcher;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.time.Duration;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;

/** Routes the requests of callers and starts their runs. Used by one thread. */
public final class ForwardHandler implements RequestHandler {

    /** Age from which on a configuration may lack routes and keys that are in force; two watches fit into it. */
    private static final Duration STALE = Duration.ofSeconds(4);

    /** Ranks of routes within one rank of a workspace. */
    private static final int ROUTE_RANKS = 3;

    private final GatewayContext context;
    private final RequestServices services;
    private final Set<RequestRun> active = new LinkedHashSet<>();

    /** Creates the handler. */
    public ForwardHandler(
            GatewayContext context, StageDispatcher stages, StageAdmissionQueue gate, TargetPools targets) {
        this.context = context;
        this.services = new RequestServices(
                stages, gate, targets, new TargetRequests(context.protocol().headers()));
    }

    @Override
    public CallerListener handle(CallerRequest request, CallerAnswer answer) {
        CallerMetadata metadata = context.protocol().decodeCaller(request.headers());
        try {
            return route(request, metadata, answer);
        } catch (RuntimeException e) {
            context.log()
                    .failure(GatewayEvent.HANDLER_FAILED)
                    .addKeyValue("request", metadata.attemptId())
                    .setCause(e)
                    .log();
            return refuse(request, metadata, answer, ErrorKind.INTERNAL, "fault of the gateway");
        }
    }

    private CallerListener route(CallerRequest request, CallerMetadata metadata, CallerAnswer answer) {
        ForwardConfig config = context.view().config();
        if (config == null) {
            return refuse(request, metadata, answer, ErrorKind.NO_CONFIGURATION, "no configuration is known");
        }
        Optional<ForwardRoute> route = config.route(host(request), request.path());
        if (route.isEmpty()) {
            return refuse(
                    request, metadata, answer, unlessStale(ErrorKind.UNKNOWN_PIPELINE), "no route of " + request.uri());
        }
        Optional<WorkspaceSpec> workspace = config.workspace(metadata.key());
        if (config.needsKey() && !route.get().open() && workspace.isEmpty()) {
            return refuse(request, metadata, answer, unlessStale(ErrorKind.UNAUTHENTICATED), "unknown key");
        }
        if (metadata.attemptId().isEmpty() || metadata.deadlineMillis() < 0) {
            return refuse(request, metadata, answer, ErrorKind.MALFORMED_REQUEST, "id or deadline is missing");
        }
        if (metadata.deadlineMillis() == 0) {
            return refuse(request, metadata, answer, ErrorKind.DEADLINE_EXPIRED, "deadline has passed");
        }
        RequestRun run = new RequestRun(
                context, services, plan(request, metadata, config, route.get(), workspace), answer, active::remove);
        active.add(run);
        run.start();
        return run;
    }

    /** Returns a final refusal only if the configuration that gives the reason is known to be recent. */
    private ErrorKind unlessStale(ErrorKind kind) {
        Duration age = context.view().configAge(context.scheduler().nanoTime());
        return age.compareTo(STALE) > 0 ? ErrorKind.NO_CONFIGURATION : kind;
    }

    /** Refuses every request that has not been sent to a target, since this gateway is about to end. */
    public void refuseUnsent() {
        List.copyOf(active).forEach(RequestRun::refuseUnsent);
    }

    private RequestPlan plan(
            CallerRequest request,
            CallerMetadata metadata,
            ForwardConfig config,
            ForwardRoute route,
            Optional<WorkspaceSpec> workspace) {
        long windowMillis = Math.min(metadata.deadlineMillis(), route.timeout().toMillis());
        return new RequestPlan(
                request,
                metadata,
                route,
                route.choosePool(ThreadLocalRandom.current().nextDouble()),
                route.open() ? "" : workspace.map(WorkspaceSpec::name).orElse(""),
                rank(route, workspace),
                route.cacheAffinity() ? promptKey(metadata) : PromptKey.UNKNOWN,
                new Deadline(request.receivedNanos()
                        + Duration.ofMillis(windowMillis).toNanos()),
                config.version());
    }

    private static int rank(ForwardRoute route, Optional<WorkspaceSpec> workspace) {
        int priority = workspace
                .map(WorkspaceSpec::priority)
                .filter(own -> own != WorkspaceSpec.NO_PRIORITY)
                .orElseGet(route::priority);
        return priority * ROUTE_RANKS + Math.min(ROUTE_RANKS - 1, route.priority());
    }

    private static PromptKey promptKey(CallerMetadata metadata) {
        List<PromptPart> parts = metadata.promptParts();
        long hash = 0;
        int shared = 0;
        int total = 0;
        for (int i = 0; i < parts.size(); i++) {
            total += parts.get(i).tokens();
            if (i < parts.size() - 1) {
                shared += parts.get(i).tokens();
                hash = RendezvousSupport.weight(hash, parts.get(i).id());
            }
        }
        return new PromptKey(hash, shared, Math.max(total, metadata.promptTokens()));
    }

    private static String host(CallerRequest request) {
        String host = request.headers().get(HttpHeaderNames.HOST, "").toLowerCase(Locale.ROOT);
        int port = host.lastIndexOf(':');
        return port < 0 || host.endsWith("]") ? host : host.substring(0, port);
    }

    private CallerListener refuse(
            CallerRequest request, CallerMetadata metadata, CallerAnswer answer, ErrorKind kind, String detail) {
        new FinalAnswer(context, answer)
                .refuse(kind, Ran.NO, Duration.ofMillis(Math.max(0, metadata.deadlineMillis())), Duration.ZERO);
        context.log()
                .failure(GatewayEvent.REQUEST_REFUSED)
                .addKeyValue("request", metadata.attemptId())
                .addKeyValue("method", request.method())
                .addKeyValue("outcome", kind.code())
                .addKeyValue("detail", detail)
                .log();
        return CallerListener.NONE;
    }
}
