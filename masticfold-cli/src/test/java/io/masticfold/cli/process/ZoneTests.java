package io.masticfold.cli.process;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.cli.Masticfold;
import io.masticfold.cli.command.ExitCode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ZoneTests extends AbstractScenarioTests {

    private static final String ZONE = "zone-b";
    private static final int SOME = 200;

    /** Time after acceptance from which no work may start in an availability zone that was taken out. */
    private static final long OUT_BOUND_MILLIS = 2_000;

    /** Guards against late work in an availability zone taken out, also through an entry cut off from the store. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void takesAZoneOutAndBack(boolean cutOff) throws Exception {
        if (cutOff) {
            deployment().relay().close();
        }
        Load load = Load.start(deployment().entries());
        try (load) {
            load.awaitCompleted(SOME);
            long version = version();
            assertThat(deployment().zone(ZONE, "out", version, "out-1").status())
                    .isEqualTo(200);
            long accepted = System.currentTimeMillis();
            Await.until(
                    "the bound has passed",
                    () -> System.currentTimeMillis() > accepted + 2 * OUT_BOUND_MILLIS,
                    () -> "");
            for (TargetProcess target : deployment().targetsOf(ZONE)) {
                assertThat(target.arrivedAfter(accepted + OUT_BOUND_MILLIS))
                        .as(target.name())
                        .isZero();
            }
            load.awaitCompleted(SOME);
            deployment().zone(ZONE, "in", version(), "in-1");
            long back = System.currentTimeMillis();
            awaitWork("engine-b", back);
            // Payments of the entry in the availability zone need the object API.
            deployment().relay().open();
            awaitWork("pay-b", back);
        }
        assertThat(load.cut()).isEmpty();
        checkRecords(load);
    }

    /** Guards against two conflicting changes of operators that are both accepted, or a loser that is not told. */
    @Test
    void letsOneOfSeveralOperatorsWin() throws Exception {
        long before = version();
        List<CompletableFuture<HttpOnce.Answer>> operators = IntStream.range(0, 4)
                .mapToObj(i -> async(() -> change(i, before)))
                .toList();
        String winner = "";
        List<String> namedToLosers = new ArrayList<>();
        for (int i = 0; i < operators.size(); i++) {
            HttpOnce.Answer answer = operators.get(i).get(20, TimeUnit.SECONDS);
            if (answer.status() == 200) {
                assertThat(winner).isEmpty();
                winner = "operator-" + i;
            } else {
                assertThat(answer.status()).isEqualTo(409);
                namedToLosers.add(answer.json().get("changeId").textValue());
            }
        }
        assertThat(namedToLosers).hasSize(3).containsOnly(winner);
    }

    /** Guards against operator commands that race and write more than one change, or end without a definite answer. */
    @Test
    void writesOneChangeForRacingCommands() throws Exception {
        List<ChildProcess> operators = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            operators.add(ChildProcess.start(
                    "operator-" + i,
                    directory(),
                    Masticfold.class,
                    List.of(
                            "zone",
                            "--object-api",
                            TargetProcess.hostPort(deployment().objectApi().address()),
                            "--vm-list",
                            TargetProcess.hostPort(deployment().vmList()),
                            "out",
                            ZONE)));
        }
        List<Integer> codes = new ArrayList<>();
        for (ChildProcess operator : operators) {
            codes.add(operator.awaitExit());
        }
        assertThat(codes).contains(ExitCode.OK.code()).isSubsetOf(ExitCode.OK.code(), ExitCode.CONFLICT.code());
        List<String> accepted = operators.stream()
                .map(ChildProcess::logTail)
                .filter(output -> output.contains("zone/" + ZONE + " out, version"))
                .toList();
        assertThat(accepted).hasSize(1);
        String changeId =
                deployment().objectApi().object("zone", ZONE).get("changeId").textValue();
        assertThat(accepted.get(0)).contains(changeId);
    }

    private void awaitWork(String target, long since) throws Exception {
        Await.until(
                target + " gets work again",
                () -> deployment().target(target).arrivedAfter(since) > 0,
                () -> deployment().logs());
    }

    private HttpOnce.Answer change(int operator, long expected) {
        try {
            return deployment().zone(ZONE, operator % 2 == 0 ? "out" : "in", expected, "operator-" + operator);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private long version() throws IOException {
        return deployment().objectApi().object("zone", ZONE).get("version").longValue();
    }
}
