package io.masticfold.core.matrix;

import io.masticfold.core.attempt.AttemptIdSource;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.limit.AdmissionDecision;
import io.masticfold.core.limit.ContractAdmission;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.link.AgentLinks;
import io.masticfold.core.model.Contract;
import io.masticfold.core.pipeline.PipelineRequest;
import io.masticfold.core.pipeline.PipelineRunner;
import io.masticfold.core.pipeline.PipelineSettings;
import io.masticfold.core.pipeline.RequestFailure;
import io.masticfold.core.retry.DefaultRetryBudget;
import io.masticfold.core.retry.RetrySettings;
import io.masticfold.core.routing.DefaultRouter;
import io.masticfold.core.routing.Router;
import io.masticfold.core.routing.RouterSettings;
import io.masticfold.core.routing.RoutingStrategy;
import io.masticfold.core.shed.PoolSignals;
import io.masticfold.core.telemetry.Telemetry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/** Entry with the production decision logic, fake links and a fake store; can be killed and frozen. */
final class MatrixEntry implements ConfigHolder, AgentLinks {

    private static final long ROUTING_SEED = 20261204;

    private final MatrixWorld world;
    private final int number;
    private final List<MatrixLink> links = new ArrayList<>();
    private final List<RecordedReply> open = new ArrayList<>();
    private VirtualProcess process;
    private ConfigReplica config = new ConfigReplica();
    private ContractAdmission admission;
    private PipelineRunner runner;
    private int starts;
    private long startedNanos;
    private int ticks;

    MatrixEntry(int number, MatrixWorld world) {
        this.number = number;
        this.world = world;
        this.process = new VirtualProcess(world.clock);
        world.agents.forEach(agent -> links.add(new MatrixLink(this, agent, world)));
        this.admission = new ContractAdmission(process, Contract::requestsPerSecond);
        this.runner = newRunner();
        tick();
    }

    private PipelineRunner newRunner() {
        DefaultRouter router = DefaultRouter.create(
                config::snapshot,
                this,
                RoutingStrategy.EXPECTED_TIME,
                RouterSettings.DEFAULT,
                process,
                new Random(ROUTING_SEED + number),
                PoolSignals.NONE);
        Router hooked = request -> {
            world.reached(Step.ROUTE, new Spot(this, world.agents.get(0)), MatrixWorld.MAIN);
            return router.choose(request);
        };
        return new PipelineRunner(
                PipelineSettings.defaults(number == 1 ? "za" : "zb"),
                hooked,
                this,
                world.store.client(this),
                new AttemptIdSource(new Incarnation(number, ++starts)),
                new DefaultRetryBudget(process, RetrySettings.DEFAULT),
                Telemetry.NONE,
                process);
    }

    /** Reads the configuration from the store and exchanges heartbeats with the agents. */
    private void tick() {
        if (!world.store.down() && world.store.slowUntilNanos <= world.clock.nanoTime()) {
            merge(world.store.objects());
        }
        boolean heartbeat = ticks++ % 5 == 0;
        links.forEach(link -> link.tick(heartbeat));
        process.schedule(MatrixWorld.TICK, this::tick);
    }

    void submit(PipelineRequest request, RecordedReply reply) {
        if (process.dead()) {
            reply.broken();
            return;
        }
        open.add(reply);
        VirtualProcess own = process;
        process.schedule(Duration.ZERO, () -> {
            world.reached(Step.ACCEPT, new Spot(this, world.agents.get(0)), request.requestId());
            if (!own.dead()) {
                accept(request, reply);
            }
        });
    }

    private void accept(PipelineRequest request, RecordedReply reply) {
        AdmissionDecision decision = admission.admit(request.contract(), request.pipeline());
        if (decision instanceof AdmissionDecision.Denied denied) {
            reply.failed(new RequestFailure(denied.kind(), Ran.NO, Ran.NO, denied.retryAfter(), "denied"));
        } else if (decision instanceof AdmissionDecision.Admitted admitted) {
            reply.whenEnded(() -> admitted.ticket().failed(ErrorKind.CANCELLED));
            runner.submit(request, process, reply);
        }
    }

    void kill() {
        process.kill();
        links.forEach(link -> link.lose(MatrixAgent.RESTART));
        List.copyOf(open).forEach(RecordedReply::broken);
        open.clear();
        world.clock.schedule(MatrixAgent.RESTART, this::restart);
    }

    private void restart() {
        process = new VirtualProcess(world.clock);
        startedNanos = world.clock.nanoTime();
        config = new ConfigReplica();
        admission = new ContractAdmission(process, Contract::requestsPerSecond);
        runner = newRunner();
        tick();
    }

    void clearMishaps() {
        links.forEach(link -> link.mishaps.clear());
    }

    MatrixLink link(MatrixAgent agent) {
        return links.get(world.agents.indexOf(agent));
    }

    @Override
    public @Nullable AgentLink link(String target) {
        return links.stream()
                .filter(link -> link.target().equals(target))
                .findFirst()
                .orElse(null);
    }

    @Override
    public boolean merge(Collection<ConfigObject> objects) {
        boolean newer = config.merge(world.rewrite(config.snapshot(), objects));
        if (newer) {
            links.forEach(MatrixLink::push);
        }
        return newer;
    }

    @Override
    public ConfigSnapshot snapshot() {
        return config.snapshot();
    }

    @Override
    public String holder() {
        return "entry " + number + "." + starts;
    }

    @Override
    public long aliveSinceNanos() {
        return Math.max(startedNanos, process.frozenUntilNanos());
    }

    @Override
    public VirtualProcess process() {
        return process;
    }
}
