package io.masticfold.cli.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Replaces processes; each replacement waits for a new JVM, so the bound of a test is wider than the default. */
@Timeout(value = 5, unit = TimeUnit.MINUTES)
class ReplacementTests extends AbstractScenarioTests {

    private static final int SOME = 100;

    /** Guards against a graceful stop that cuts requests in progress. */
    @Test
    void cutsNoRequestOnAGracefulStop() throws Exception {
        Load load = Load.start(deployment().entries());
        try (load) {
            load.awaitCompleted(SOME);
            deployment().entry(0).process().terminate();
            deployment().entry(0).process().awaitExit();
            load.awaitCompleted(SOME);
        }
        assertThat(load.cut()).isEmpty();
        checkRecords(load);
    }

    /** Guards against a replacement of all processes, one after another, that gives wrong answers or cuts requests. */
    @Test
    void replacesEveryProcessUnderLoad() throws Exception {
        Load load = Load.start(deployment().entries());
        try (load) {
            load.awaitCompleted(SOME);
            for (EntryProcess entry : deployment().entries()) {
                replace(entry.process());
                Await.until(entry.name() + " is ready again", entry::ready, () -> deployment()
                        .logs());
                load.awaitCompleted(SOME);
            }
            for (TargetProcess target : deployment().targets()) {
                replace(deployment().agent(target.name()).process());
                long restarted = System.currentTimeMillis();
                Await.until(
                        target.name() + " gets work again", () -> target.arrivedAfter(restarted) > 0, () -> deployment()
                                .logs());
            }
        }
        assertThat(load.cut()).isEmpty();
        checkRecords(load);
    }

    private static void replace(ChildProcess process) throws Exception {
        process.terminate();
        process.awaitExit();
        process.restart();
    }
}
