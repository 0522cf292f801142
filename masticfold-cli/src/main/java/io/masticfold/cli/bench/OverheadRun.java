package io.masticfold.cli.bench;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.cli.dev.DeploymentFiles;
import io.masticfold.cli.dev.LocalDeployment;
import io.masticfold.core.model.Contract;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import org.HdrHistogram.Histogram;

/**
 * Measures what a stage through masticfold costs over the same call straight to the stand-in, at 1,000 requests a
 * second.
 */
final class OverheadRun {

    private static final double PER_SECOND = 1_000;
    private static final double SECONDS = 8;
    private static final double NANOS_PER_MILLI = 1e6;

    private final long seed;
    private final int basePort;

    OverheadRun(long seed, int basePort) {
        this.seed = seed;
        this.basePort = basePort;
    }

    ObjectNode run() throws CommandException {
        List<Contract> contracts =
                List.of(BenchWorkspace.GOLD.contract(Scenario.OVERHEAD.contractRate(BenchWorkspace.GOLD)));
        DeploymentFiles files = BenchDeployment.create(basePort, contracts);
        LocalDeployment deployment =
                new LocalDeployment(files, new BenchProfiles(seed, 0), BenchPolicy.MASTICFOLD.options());
        deployment.start();
        try {
            return measure(files, deployment);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        } finally {
            try {
                deployment.stop();
            } catch (InterruptedException _e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private ObjectNode measure(DeploymentFiles files, LocalDeployment deployment) throws InterruptedException {
        List<InetSocketAddress> entry =
                List.of(files.settings().entries().get(0).listen());
        List<InetSocketAddress> direct = deployment.targets().entrySet().stream()
                .filter(target -> target.getKey().startsWith("encode"))
                .map(target -> target.getValue().address())
                .toList();
        Histogram warmUp = direct(direct);
        through(entry);
        Histogram straight = direct(direct);
        Histogram through = through(entry);
        ObjectNode report = new ObjectMapper().createObjectNode();
        report.put("scenario", Scenario.OVERHEAD.code());
        report.put("seed", seed);
        report.put("perSecond", PER_SECOND);
        report.put("warmUpSamples", warmUp.getTotalCount());
        for (int percentile : new int[] {50, 99}) {
            double straightMillis = straight.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
            double throughMillis = through.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
            report.put("straightP" + percentile + "Millis", straightMillis);
            report.put("throughP" + percentile + "Millis", throughMillis);
            report.put("addedP" + percentile + "Millis", throughMillis - straightMillis);
        }
        return report;
    }

    private Histogram through(List<InetSocketAddress> entry) throws InterruptedException {
        return run(entry, "read");
    }

    private Histogram direct(List<InetSocketAddress> targets) throws InterruptedException {
        return run(targets, LoadClient.DIRECT);
    }

    private Histogram run(List<InetSocketAddress> addresses, String pipeline) throws InterruptedException {
        Map<BenchWorkspace, Double> rates = Map.of(BenchWorkspace.GOLD, PER_SECOND);
        List<BenchRequest> schedule = Schedule.generate(List.of(new Phase(SECONDS, rates, false)), 0, seed).stream()
                .map(request -> new BenchRequest(request.atNanos(), request.workspace(), pipeline, request.number()))
                .toList();
        Histogram histogram = new Histogram(3);
        new LoadClient(addresses)
                .run(schedule, _startNanos -> {}).stream()
                        .filter(RequestRecord::whole)
                        .forEach(record -> histogram.recordValue(Math.max(1, record.totalNanos())));
        return histogram;
    }
}
