package io.masticfold.cli.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.io.TempDir;

/** Starts a small deployment for each test and checks what must always hold at the end. */
@Tag("process")
abstract class AbstractScenarioTests {

    @TempDir
    private Path directory;

    private SmallDeployment deployment;

    @BeforeEach
    void start() throws Exception {
        deployment = SmallDeployment.start(directory);
    }

    @AfterEach
    void stop() throws Exception {
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
