package io.masticfold.cli.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.testkit.targets.TargetFault;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Supplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;

/** Starts a small deployment for each test and checks what must always hold at the end. */
@Tag("process")
abstract class AbstractScenarioTests {

    private static final int SLOW_PERCENT = 5_000;

    @TempDir
    private Path directory;

    private final ExecutorService executor = Executors.newCachedThreadPool();
    private SmallDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = SmallDeployment.start(directory);
    }

    @AfterEach
    void stop() throws Exception {
        executor.shutdownNow();
        if (deployment != null) {
            deployment.close();
        }
    }

    SmallDeployment deployment() {
        return deployment;
    }

    Path directory() {
        return directory;
    }

    /** Runs a call beside the test. */
    <T> CompletableFuture<T> async(Supplier<T> call) {
        return CompletableFuture.supplyAsync(call, executor);
    }

    /** Sends a payment through the first entry beside the test. */
    CompletableFuture<Optional<Reply>> payAsync(String operation) {
        return async(() -> Caller.tryCall(deployment.entry(0), "payment", operation));
    }

    /** Makes payments take about a second, so that a test can act while one runs. */
    void slowPayments() throws IOException {
        deployment.target("pay-a").fault(TargetFault.SLOW_PERCENT, SLOW_PERCENT);
        deployment.target("pay-b").fault(TargetFault.SLOW_PERCENT, SLOW_PERCENT);
    }

    void awaitStarted(String operation) throws Exception {
        Await.until(
                "payment " + operation + " runs", () -> deployment.payments(operation) > 0, () -> deployment.logs());
    }

    /** Checks results, payments and cold bounds against what the targets recorded. */
    void checkRecords(Load load) throws IOException {
        assertThat(load.wrong()).isEmpty();
        for (String operation : load.paid()) {
            assertThat(deployment.payments(operation)).as(operation).isEqualTo(1);
        }
        for (String operation : load.unpaid()) {
            assertThat(deployment.payments(operation)).as(operation).isZero();
        }
        for (TargetProcess target : deployment.targets()) {
            assertThat(target.report().get("collapses").intValue())
                    .as(target.name())
                    .isZero();
        }
    }
}
