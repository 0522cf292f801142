package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.AttemptIdSource;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.link.AgentLinks;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.retry.RetryBudget;
import io.masticfold.core.routing.Route;
import io.masticfold.core.routing.RouteRequest;
import io.masticfold.core.routing.Router;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.ManualScheduler;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Runs a {@link PipelineRunner} over fake links; its router chooses the first usable target that is not excluded. */
final class FakeEntry implements Router, AgentLinks {

    final List<FakeAgentLink> links;
    final Map<String, Integer> counts = new HashMap<>();
    final PipelineRunner runner;
    final CountingRetryBudget retryBudget;
    int inFlight;
    int refusals;

    FakeEntry(
            long number,
            List<FakeAgent> agents,
            FakeClaimStore store,
            ManualScheduler scheduler,
            PipelineSettings settings,
            RetryBudget budget) {
        this.retryBudget = new CountingRetryBudget(budget);
        this.links = agents.stream()
                .map(agent -> new FakeAgentLink(agent, scheduler))
                .toList();
        Telemetry telemetry = new Telemetry() {
            @Override
            public void count(String event) {
                counts.merge(event, 1, Integer::sum);
            }
        };
        this.runner = new PipelineRunner(
                settings,
                this,
                this,
                store,
                new AttemptIdSource(new Incarnation(number, number)),
                retryBudget,
                telemetry,
                scheduler);
    }

    @Override
    public Optional<Route> choose(RouteRequest request) {
        Optional<Route> route = links.stream()
                .filter(link -> link.usable() && !request.excluded().contains(link.target()))
                .findFirst()
                .map(FakeRoute::new);
        route.ifPresent(_chosen -> inFlight++);
        return route;
    }

    @Override
    public @Nullable AgentLink link(String target) {
        return links.stream()
                .filter(link -> link.target().equals(target))
                .findFirst()
                .orElse(null);
    }

    int count(String event) {
        return counts.getOrDefault(event, 0);
    }

    /** Counts its attempt as in flight until it is released, which must happen once only. */
    private final class FakeRoute implements Route {

        private final FakeAgentLink link;
        private boolean released;

        FakeRoute(FakeAgentLink link) {
            this.link = link;
        }

        @Override
        public Target target() {
            return new Target(
                    link.target(),
                    "za",
                    "pool",
                    TargetKind.SERVICE,
                    "127.0.0.1:1",
                    "127.0.0.1:2",
                    TargetState.SERVING,
                    8,
                    1,
                    8,
                    false,
                    false,
                    null);
        }

        @Override
        public AgentLink link() {
            return link;
        }

        @Override
        public void release(StageOutcome outcome, TargetLoad load, long elapsedNanos) {
            if (released) {
                throw new IllegalStateException("released twice: " + outcome + " " + load + " " + elapsedNanos);
            }
            released = true;
            inFlight--;
            refusals += outcome instanceof StageRefused ? 1 : 0;
        }
    }
}
