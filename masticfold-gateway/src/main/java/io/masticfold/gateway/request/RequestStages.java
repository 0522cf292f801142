package io.masticfold.gateway.request;

import io.masticfold.core.forward.StageSpec;
import io.masticfold.core.placement.EnginePlacement;
import io.masticfold.gateway.stage.StageRun;
import io.masticfold.gateway.stage.StageRunListener;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Runs the stages of one request, and runs them again if their results are lost. Used by one thread. */
final class RequestStages {

    /** Maximum number of times the stages of a request are run. */
    private static final int MAX_RUNS = 2;

    /** Typical time from a send to an engine until its first token; stage results are due that long before the aim. */
    private static final Duration TIME_TO_FIRST_TOKEN = Duration.ofMillis(250);

    private final RequestServices services;
    private final RoutedRequest routed;
    private @Nullable StageRun current;
    private int runs;

    RequestStages(RequestServices services, RoutedRequest routed) {
        this.services = services;
        this.routed = routed;
    }

    /**
     * Creates the next run of the stages.
     *
     * @throws IllegalArgumentException if the piece counts of the request do not match the stages of its route
     */
    void create(StageRunListener listener) {
        runs++;
        long received = routed.request().receivedNanos();
        current = new StageRun(
                services.stages(),
                routed.route().stages(),
                routed.metadata().stagePieces(),
                routed.metadata().attemptId(),
                routed.metadata().stageKey(),
                routed.priority(),
                received,
                received
                        + routed.route()
                                .latencyObjective()
                                .minus(TIME_TO_FIRST_TOKEN)
                                .toNanos(),
                routed.firstAnswerDeadline(),
                routed.deadline(),
                expectedTargetZone(),
                listener);
    }

    /** Submits the run created last; a run without pieces completes immediately. */
    void submit(StageRunListener listener) {
        StageRun run = current;
        if (run == null || run.empty()) {
            listener.stagesDone(List.of());
        } else {
            services.gate().submit(run);
        }
    }

    private @Nullable String expectedTargetZone() {
        List<StageSpec> stages = routed.route().stages();
        List<Integer> pieces = routed.metadata().stagePieces();
        long resultBytes = 0;
        for (int stage = 0; stage < Math.min(stages.size(), pieces.size()); stage++) {
            resultBytes += stages.get(stage).resultBytes() * pieces.get(stage);
        }
        return EnginePlacement.prefersCachedPrompt(routed.prompt(), resultBytes)
                ? services.targets().pool(routed.pool()).preferredZone(routed.prompt())
                : null;
    }

    /** Returns whether a run of the stages has been created. */
    boolean hasRun() {
        return current != null;
    }

    boolean mayRunAgain() {
        return runs < MAX_RUNS;
    }

    /** Returns the bytes of stage results that the request reads, by availability zone of the servers holding them. */
    Map<String, Long> resultBytesByZone() {
        StageRun run = current;
        return run == null ? Map.of() : run.finalBytesByZone();
    }

    /** Allows the results to be evicted when their memory is needed, since the request has read them by now. */
    void resultsRead() {
        StageRun run = current;
        if (run != null) {
            run.resultsRead();
        }
    }

    /** Cancels unfinished pieces and releases all results. */
    void release() {
        StageRun run = current;
        if (run != null) {
            run.cancel();
        }
    }

    void recordTo(RequestRecorder recorder) {
        StageRun run = current;
        if (run != null) {
            recorder.recordStages(run);
        }
    }
}
