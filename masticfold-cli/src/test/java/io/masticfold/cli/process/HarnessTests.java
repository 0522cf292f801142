package io.masticfold.cli.process;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticfold.core.model.TargetKind;
import io.masticfold.testkit.targets.TargetFault;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

@Tag("process")
class HarnessTests {

    private static final String BODY = "{\"operation\":\"pay-1\"}";

    @TempDir
    private Path directory;

    private TargetProcess target;

    @BeforeEach
    void start() throws Exception {
        target = TargetProcess.start("pay-a", TargetKind.SERVICE, directory, 0);
        awaitTarget();
    }

    @AfterEach
    void stop() throws InterruptedException {
        target.process().kill();
    }

    /** Guards against scenarios that pass because nothing was recorded. */
    @Test
    void recordsWhatATargetRan() throws Exception {
        assertThat(run().status()).isEqualTo(200);
        assertThat(target.ran("pay-1")).hasSize(1);
        assertThat(target.ran("pay-2")).isEmpty();
        assertThat(target.arrivedAfter(0)).isEqualTo(1);
        target.fault(TargetFault.CUT_BEFORE_BODY, 1);
        assertThatThrownBy(this::run).isInstanceOf(IOException.class);
        assertThat(target.ran("pay-1")).hasSize(2);
    }

    /** Guards against signals that reach another process or none. */
    @Test
    void freezesKillsAndRestarts() throws Exception {
        target.process().freeze();
        assertThatThrownBy(() -> HttpOnce.get(target.address(), "/v1/load", 300))
                .isInstanceOf(SocketTimeoutException.class);
        target.process().resume();
        assertThat(HttpOnce.get(target.address(), "/v1/load").status()).isEqualTo(200);
        target.process().kill();
        assertThatThrownBy(() -> HttpOnce.get(target.address(), "/v1/load")).isInstanceOf(IOException.class);
        target.process().restart();
        awaitTarget();
        assertThat(target.arrivedAfter(0)).isZero();
    }

    private HttpOnce.Answer run() throws IOException {
        return HttpOnce.send(target.address(), "POST", "/v1/run", Map.of("X-Attempt-Id", "1:1"), BODY);
    }

    private void awaitTarget() throws Exception {
        Await.until(
                "the target answers",
                () -> {
                    try {
                        return HttpOnce.get(target.address(), "/v1/load").status() == 200;
                    } catch (IOException e) {
                        return false;
                    }
                },
                () -> target.process().logTail());
    }
}
