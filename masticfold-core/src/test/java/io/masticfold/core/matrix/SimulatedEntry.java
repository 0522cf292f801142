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
import io.masticfold.core.retry.RetryBudgetSettings;
import io.masticfold.core.retry.TokenBucketRetryBudget;
import io.masticfold.core.routing.DefaultRouter;
import io.masticfold.core.routing.Router;
import io.masticfold.core.routing.RouterSettings;
import io.masticfold.core.routing.RoutingStrategy;
import io.masticfold.core.shed.PoolAttemptListener;
import io.masticfold.core.telemetry.Telemetry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Random;
import org.jspecify.annotations.Nullable;

/** Entry with the production decision logic, fake links and a fake store; can be killed and frozen. */
final class SimulatedEntry implements ConfigHolder, AgentLinks {

    private static final long ROUTING_SEED = 20261204;

    private final Simulation simulation;
    private final int number;
    private final List<SimulatedLink> links = new ArrayList<>();
    private final List<RecordedResponse> responses = new ArrayList<>();
    private SimulatedProcess process;
    private ConfigReplica config = new ConfigReplica();
    private ContractAdmission admission;
    private PipelineRunner runner;
    private int starts;
    private long startedNanos;
    private int ticks;

    SimulatedEntry(int number, Simulation simulation) {
        this.number = number;
        this.simulation = simulation;
        this.process = new SimulatedProcess(simulation.clock);
        simulation.agents.forEach(agent -> links.add(new SimulatedLink(this, agent, simulation)));
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
                PoolAttemptListener.NONE);
        Router observedRouter = request -> {
            simulation.stepReached(
                    Step.ROUTE, new FaultSite(this, simulation.agents.get(0)), Simulation.ID_PREFIX_UNDER_TEST);
            return router.choose(request);
        };
        return new PipelineRunner(
                PipelineSettings.defaults(number == 1 ? "za" : "zb"),
                observedRouter,
                this,
                simulation.store.claimStoreFor(this),
                new AttemptIdSource(new Incarnation(number, ++starts)),
                new TokenBucketRetryBudget(process, RetryBudgetSettings.DEFAULT),
                Telemetry.NONE,
                process);
    }

    /** Reads the configuration from the store and exchanges heartbeats with the agents. */
    private void tick() {
        if (!simulation.store.down() && simulation.store.slowUntilNanos <= simulation.clock.nanoTime()) {
            merge(simulation.store.objects());
        }
        boolean heartbeat = ticks++ % 5 == 0;
        links.forEach(link -> link.tick(heartbeat));
        process.schedule(Simulation.TICK_INTERVAL, this::tick);
    }

    void submit(PipelineRequest request, RecordedResponse response) {
        if (process.dead()) {
            response.connectionLost();
            return;
        }
        responses.add(response);
        SimulatedProcess receiver = process;
        process.schedule(Duration.ZERO, () -> {
            simulation.stepReached(Step.ACCEPT, new FaultSite(this, simulation.agents.get(0)), request.requestId());
            if (!receiver.dead()) {
                accept(request, response);
            }
        });
    }

    private void accept(PipelineRequest request, RecordedResponse response) {
        AdmissionDecision decision = admission.admit(request.contract(), request.pipeline());
        if (decision instanceof AdmissionDecision.Denied denied) {
            response.failed(new RequestFailure(denied.kind(), Ran.NO, Ran.NO, denied.retryAfter(), "denied"));
        } else if (decision instanceof AdmissionDecision.Admitted admitted) {
            response.onEnd(() -> admitted.ticket().failed(ErrorKind.CANCELLED));
            runner.submit(request, process, response);
        }
    }

    void kill() {
        process.kill();
        links.forEach(link -> link.disconnect(SimulatedAgent.RESTART_DELAY));
        List.copyOf(responses).forEach(RecordedResponse::connectionLost);
        responses.clear();
        simulation.clock.schedule(SimulatedAgent.RESTART_DELAY, this::restart);
    }

    private void restart() {
        process = new SimulatedProcess(simulation.clock);
        startedNanos = simulation.clock.nanoTime();
        config = new ConfigReplica();
        admission = new ContractAdmission(process, Contract::requestsPerSecond);
        runner = newRunner();
        tick();
    }

    void clearMessageFaults() {
        links.forEach(link -> link.messageFaults.clear());
    }

    SimulatedLink link(SimulatedAgent agent) {
        return links.get(simulation.agents.indexOf(agent));
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
        boolean newer = config.merge(simulation.objectsToMerge(config.snapshot(), objects));
        if (newer) {
            links.forEach(SimulatedLink::pushConfig);
        }
        return newer;
    }

    @Override
    public ConfigSnapshot snapshot() {
        return config.snapshot();
    }

    @Override
    public String processName() {
        return "entry " + number + "." + starts;
    }

    @Override
    public long runningSinceNanos() {
        return Math.max(startedNanos, process.frozenUntilNanos());
    }

    @Override
    public SimulatedProcess process() {
        return process;
    }
}
