package io.masticfold.cli.bench;

import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.dev.DeploymentFiles;
import io.masticfold.cli.dev.LocalDeployment;
import io.masticfold.core.model.Contract;
import io.masticfold.platform.settings.DeploymentEntry;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/** Runs one scenario with one policy and collects what happened. */
final class BenchRun {

    private final Scenario scenario;
    private final BenchPolicy policy;
    private final long seed;
    private final int basePort;

    BenchRun(Scenario scenario, BenchPolicy policy, long seed, int basePort) {
        this.scenario = scenario;
        this.policy = policy;
        this.seed = seed;
        this.basePort = basePort;
    }

    /** Runs the scenario and returns the report. */
    BenchReport run() throws CommandException {
        List<Contract> contracts = Arrays.stream(BenchWorkspace.values())
                .map(workspace -> workspace.contract(scenario.contractRate(workspace)))
                .toList();
        DeploymentFiles files = BenchDeployment.create(basePort, contracts);
        LocalDeployment deployment =
                new LocalDeployment(files, new BenchProfiles(seed, scenario.coldMillis()), policy.options());
        deployment.start();
        try {
            return measure(files, deployment);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        } finally {
            stop(deployment);
        }
    }

    private BenchReport measure(DeploymentFiles files, LocalDeployment deployment) throws InterruptedException {
        List<InetSocketAddress> entries =
                files.settings().entries().stream().map(DeploymentEntry::listen).toList();
        warmUp(entries);
        List<BenchRequest> schedule = Schedule.generate(scenario.phases(), scenario.paymentShare(), seed);
        ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
        AtomicLong startMillis = new AtomicLong();
        List<RequestRecord> records = new LoadClient(entries).run(schedule, _startNanos -> {
            startMillis.set(System.currentTimeMillis());
            scenario.events()
                    .forEach(event -> timer.schedule(
                            () -> event.action().accept(deployment),
                            (long) (event.atSeconds() * TimeUnit.SECONDS.toMillis(1)),
                            TimeUnit.MILLISECONDS));
        });
        timer.shutdown();
        Observations observations = Observations.of(deployment, startMillis.get());
        return new BenchReport(scenario, policy, seed, schedule, records, observations);
    }

    /** Sends a few seconds of light load first, so that the compiler and the connections are warm. */
    private void warmUp(List<InetSocketAddress> entries) throws InterruptedException {
        if (scenario.coldMillis() > 0) {
            return;
        }
        Map<BenchWorkspace, Double> rates = Map.of(BenchWorkspace.GOLD, BenchSizes.CAPACITY_PER_SECOND * 0.3);
        List<BenchRequest> requests = Schedule.generate(List.of(new Phase(4, rates, true)), 0, seed + 1_000);
        new LoadClient(entries).run(requests, _startNanos -> {});
    }

    private static void stop(LocalDeployment deployment) throws CommandException {
        try {
            deployment.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        }
    }
}
