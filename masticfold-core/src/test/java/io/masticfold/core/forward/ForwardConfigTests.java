package io.masticfold.core.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against requests routed to the wrong pool, and against API keys assigned to the wrong workspace. */
final class ForwardConfigTests {

    private static final ForwardConfig CONFIG = new ForwardConfig(
            7,
            RequestLimits.DEFAULT,
            List.of(
                    route("short", "a.example", "/p/", List.of(new PoolShare("one", 1))),
                    route("long", "a.example", "/p/q/", List.of(new PoolShare("two", 1))),
                    route("other", "b.example", "/", List.of(new PoolShare("one", 90), new PoolShare("two", 10)))),
            List.of(),
            CallerAuthentication.API_KEY,
            List.of(
                    new WorkspaceSpec("w1", Set.of("k1", "k2"), 0),
                    new WorkspaceSpec("w2", Set.of("k3"), WorkspaceSpec.NO_PRIORITY)));

    static ForwardRoute route(String name, String host, String prefix, List<PoolShare> pools) {
        return new ForwardRoute(
                name,
                host,
                prefix,
                RequestKind.SAFE,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                Duration.ofSeconds(1),
                0,
                2,
                pools,
                List.of(),
                false,
                false);
    }

    @ParameterizedTest
    @CsvSource({
        "a.example, /p/x, short",
        "a.example, /p/q/x, long",
        "a.example, /p/q, short",
        "b.example, /p/q/x, other",
        "a.example, /p, ",
        "a.example, /x/p/, ",
        "c.example, /p/x, ",
    })
    void theRouteWithTheLongestPrefixOfTheHostIsChosen(String host, String path, String expected) {
        assertThat(CONFIG.route(host, path).map(ForwardRoute::name).orElse(null))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({"0.0, one", "0.899, one", "0.901, two", "0.999, two"})
    void poolsAreChosenByWeight(double draw, String pool) {
        assertThat(CONFIG.route("b.example", "/").orElseThrow().choosePool(draw))
                .isEqualTo(pool);
    }

    @ParameterizedTest
    @CsvSource({"k1, w1", "k2, w1", "k3, w2", "k4, ", "'', "})
    void aKeyBelongsToItsWorkspaceOnly(String key, String workspace) {
        assertThat(CONFIG.workspace(key).map(WorkspaceSpec::name).orElse(null)).isEqualTo(workspace);
    }

    @ParameterizedTest
    @CsvSource({"p/", "/p"})
    void aPrefixWithoutEnclosingSlashesIsRejected(String prefix) {
        assertThatThrownBy(() -> route("r", "h", prefix, List.of(new PoolShare("one", 1))))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining(prefix);
    }

    /** A caller of a stream leaves when no event has arrived for some time, long before its deadline. */
    @ParameterizedTest
    @CsvSource({"20000, 20000, 7200, 7200", "5000, 20000, 7200, 5000", "20000, 6000, 7200, 6000"})
    void theFirstAnswerIsDueBeforeTheCallerLosesPatience(long caller, long timeout, long patience, long window) {
        ForwardRoute route = new ForwardRoute(
                "r",
                "h",
                "/",
                RequestKind.STREAM,
                Duration.ofMillis(timeout),
                Duration.ofMillis(1800),
                Duration.ofMillis(patience),
                0,
                1,
                List.of(new PoolShare("one", 1)),
                List.of(),
                false,
                true);

        assertThat(route.firstAnswerWindow(Duration.ofMillis(caller))).isEqualTo(Duration.ofMillis(window));
    }

    @Test
    void aStageThatDependsOnItselfIsRejected() {
        assertThatThrownBy(() -> new ForwardRoute(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAM,
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(1),
                        Duration.ofSeconds(1),
                        0,
                        1,
                        List.of(new PoolShare("one", 1)),
                        List.of(new StageSpec("s", List.of(0), 1)),
                        false,
                        true))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
