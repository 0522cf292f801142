package io.masticfold.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.model.Contract;
import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against entries that together exceed the rate of a contract, or stop admitting without a coordinator. */
class QuotaExchangeTests {

    private static final Contract CONTRACT =
            new Contract("shop", "shop", "0".repeat(64), 1_000, 1, 5, 100, 10, 100, List.of("read"));

    private final ManualScheduler time = new ManualScheduler();
    private final QuotaCoordinator coordinator = new QuotaCoordinator(time);

    @ParameterizedTest
    @CsvSource({"90, 10", "500, 500", "1, 1"})
    void sharesOfTwoEntriesStayWithinTheRate(double first, double second) {
        share(1, first);
        double b = share(2, second);
        double a = share(1, first);

        assertThat(a + b).isLessThanOrEqualTo(100 + 1e-6);
        assertThat(a).isGreaterThanOrEqualTo(Math.min(first, 50) - 1e-6);
        assertThat(b).isGreaterThanOrEqualTo(Math.min(second, 50) - 1e-6);
    }

    @Test
    void theReportOfASilentEntryExpires() {
        share(1, 90);
        time.advance(Duration.ofMillis(2_001));
        coordinator.expire();

        assertThat(share(2, 90)).isEqualTo(100);
    }

    @Test
    void withoutACoordinatorTheClientFallsBackToAnEqualShare() {
        QuotaClient client = new QuotaClient(time);
        client.setEntryCount(4);
        assertThat(client.shareForArrival(CONTRACT)).isEqualTo(25);

        client.applyShares(List.of(new WorkspaceShare("shop", 60)));
        assertThat(client.shareForArrival(CONTRACT)).isEqualTo(60);

        time.advance(Duration.ofMillis(2_001));
        assertThat(client.shareForArrival(CONTRACT)).isEqualTo(25);
    }

    @Test
    void entriesAgreeOnTheCoordinatorAndChooseAnotherWhenItIsGone() {
        Optional<String> chosen = QuotaClient.coordinator("shop", List.of("a", "b", "c", "d"));
        Optional<String> chosenFromReversed = QuotaClient.coordinator("shop", List.of("d", "c", "b", "a"));
        List<String> remaining = Stream.of("a", "b", "c", "d")
                .filter(agent -> !agent.equals(chosen.orElseThrow()))
                .toList();

        assertThat(chosen).isEqualTo(chosenFromReversed);
        assertThat(QuotaClient.coordinator("shop", remaining)).isPresent().isNotEqualTo(chosen);
    }

    private double share(long entry, double demand) {
        return coordinator
                .exchange(new Incarnation(1, entry), List.of(new WorkspaceDemand("shop", demand, 100)))
                .get(0)
                .perSecond();
    }
}
