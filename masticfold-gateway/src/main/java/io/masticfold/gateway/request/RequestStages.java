package io.masticfold.gateway.request;

import io.masticfold.core.forward.StageSpec;
import io.masticfold.core.placement.EnginePlacement;
import io.masticfold.gateway.stage.StageRun;
import io.masticfold.gateway.stage.StageRunListener;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Runs the stages of one request, again where their results are lost. Used by one thread. */
final class RequestStages {

    /** Most times that the stages of a request are run. */
    private static final int MAX_RUNS = 2;

    /** Usual time from the send to an engine to its first token, for the time at which stage results are due. */
    private static final Duration ENGINE_TIME = Duration.ofMillis(250);

    private final RequestServices services;
    private final RequestPlan plan;
    private @Nullable StageRun current;
    private int runs;

    RequestStages(RequestServices services, RequestPlan plan) {
        this.services = services;
        this.plan = plan;
    }

    /**
     * Creates the next run of the stages.
     *
     * @throws IllegalArgumentException if the pieces of the request do not match the stages of its route
     */
    void create(StageRunListener listener) {
        runs++;
        long received = plan.request().receivedNanos();
        current = new StageRun(
                services.stages(),
                plan.route().stages(),
                plan.metadata().stagePieces(),
                plan.metadata().attemptId(),
                plan.metadata().stageKey(),
                plan.rank(),
                received,
                received + plan.route().latencyObjective().minus(ENGINE_TIME).toNanos(),
                plan.deadline(),
                readerZone(),
                listener);
    }

    /** Submits the run that was created last; a run without pieces is done at once. */
    void submit(StageRunListener listener) {
        StageRun run = current;
        if (run == null || run.empty()) {
            listener.stagesDone(List.of());
        } else {
            services.gate().submit(run);
        }
    }

    private @Nullable String readerZone() {
        List<StageSpec> stages = plan.route().stages();
        List<Integer> pieces = plan.metadata().stagePieces();
        long resultBytes = 0;
        for (int stage = 0; stage < Math.min(stages.size(), pieces.size()); stage++) {
            resultBytes += stages.get(stage).resultBytes() * pieces.get(stage);
        }
        return EnginePlacement.prefersCachedPrompt(plan.prompt(), resultBytes)
                ? services.targets().pool(plan.pool()).preferredZone(plan.prompt())
                : null;
    }

    /** Returns whether the request has had stages to run. */
    boolean begun() {
        return current != null;
    }

    boolean mayRunAgain() {
        return runs < MAX_RUNS;
    }

    /** Returns the size of the results that the request reads, in bytes, by availability zone of their servers. */
    Map<String, Long> finalBytesByZone() {
        StageRun run = current;
        return run == null ? Map.of() : run.finalBytesByZone();
    }

    /** Keeps the results only until their room is needed, since the request has read them by now. */
    void resultsRead() {
        StageRun run = current;
        if (run != null) {
            run.resultsRead();
        }
    }

    /** Gives up what is not made and releases every result. */
    void release() {
        StageRun run = current;
        if (run != null) {
            run.cancel();
        }
    }

    void reportTo(RequestReport report) {
        StageRun run = current;
        if (run != null) {
            report.stages(run);
        }
    }
}
