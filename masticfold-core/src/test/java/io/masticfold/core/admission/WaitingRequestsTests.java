package io.masticfold.core.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against an order of service that ignores priority, latest start or the share of a workspace. */
final class WaitingRequestsTests {

    private final WaitingRequests<String> waiting = new WaitingRequests<>();

    private void add(String handle, int priority, String workspace, int deadlineMillis, int usualMillis) {
        add(handle, priority, workspace, deadlineMillis, usualMillis, false);
    }

    private void add(
            String handle, int priority, String workspace, int deadlineMillis, int usualMillis, boolean early) {
        waiting.add(
                new AdmissionRequest<>(
                        handle,
                        priority,
                        workspace,
                        handle,
                        Optional.of(Duration.ofMillis(usualMillis)),
                        Duration.ofMillis(deadlineMillis).toNanos()),
                early);
    }

    private List<String> drain() {
        List<String> order = new ArrayList<>();
        for (Optional<AdmissionRequest<String>> head = waiting.head(); head.isPresent(); head = waiting.head()) {
            order.add(head.get().handle());
            waiting.started(head.get());
        }
        return order;
    }

    @Test
    void priorityComesBeforeLatestStart() {
        add("later", 0, "w", 900, 100);
        add("less-urgent", 1, "w", 200, 100);
        add("sooner", 0, "w", 1000, 300);

        assertThat(drain()).containsExactly("sooner", "later", "less-urgent");
    }

    @Test
    void workspaceWithManyRequestsGetsOneTurnForEachRoundOfTheOthers() {
        for (int i = 0; i < 20; i++) {
            add("heavy" + i, 0, "heavy", 100 + i, 50);
        }
        add("a0", 0, "a", 500, 50);
        add("a1", 0, "a", 501, 50);
        add("b0", 0, "b", 502, 50);
        add("b1", 0, "b", 503, 50);

        assertThat(drain().subList(0, 6)).containsExactly("a0", "a1", "heavy0", "b0", "heavy1", "b1");
    }

    @Test
    void workspaceThatIsAloneIsServedByLatestStart() {
        add("b", 0, "w", 200, 50);
        add("a", 0, "w", 100, 50);

        assertThat(drain()).containsExactly("a", "b");
    }

    @Test
    void earlyReturnComesLastInItsPriority() {
        add("early", 0, "w", 100, 50, true);
        add("patient", 0, "w", 900, 50);
        add("less-urgent", 1, "w", 100, 50);

        assertThat(drain()).containsExactly("patient", "early", "less-urgent");
    }
}
