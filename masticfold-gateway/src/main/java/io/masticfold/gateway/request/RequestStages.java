package io.masticfold.gateway.request;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.forward.StageSpec;
import io.masticfold.core.placement.EnginePlacement;
import io.masticfold.gateway.context.GatewayContext;
import io.masticfold.gateway.http.ResponseMemory;
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

    /** Upper estimate of the memory that a piece takes here: its place in the graph, the queue and the calls. */
    private static final int BYTES_PER_PIECE = 1024;

    private final GatewayContext context;
    private final ResponseMemory memory;
    private final RequestServices services;
    private final RoutedRequest routed;
    private @Nullable StageRun current;
    private long reservedBytes;
    private int runs;

    /** Creates the stages of a request; nothing is run yet. */
    RequestStages(GatewayContext context, RequestServices services, RoutedRequest routed) {
        this.context = context;
        this.memory = context.client().responseMemory();
        this.services = services;
        this.routed = routed;
    }

    /** Returns the largest number of pieces of one request, for which all of the memory is enough. */
    static long maxPieces(ResponseMemory memory) {
        return memory.maxBytes() / BYTES_PER_PIECE;
    }

    /**
     * Creates the next run of the stages.
     *
     * @throws MasticfoldException if the stages cannot be run as the route describes them, or if there is no memory for
     *     their pieces
     */
    void create(StageRunListener listener) throws MasticfoldException {
        if (!reserve()) {
            context.telemetry().count("memory_rejected");
            throw new MasticfoldException(ErrorKind.OVERLOADED, "no memory for the pieces of the stages");
        }
        runs++;
        try {
            current = newRun(listener);
        } catch (IllegalArgumentException e) {
            throw new MasticfoldException(ErrorKind.MALFORMED_REQUEST, String.valueOf(e.getMessage()), e);
        }
    }

    private StageRun newRun(StageRunListener listener) {
        long received = routed.request().receivedNanos();
        return new StageRun(
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

    private boolean reserve() {
        if (reservedBytes > 0) {
            return true;
        }
        long bytes = BYTES_PER_PIECE
                * routed.metadata().stagePieces().stream()
                        .mapToLong(Integer::longValue)
                        .sum();
        if (!memory.reserve(bytes)) {
            return false;
        }
        reservedBytes = bytes;
        return true;
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
        memory.release(reservedBytes);
        reservedBytes = 0;
    }

    void recordTo(RequestRecorder recorder) {
        StageRun run = current;
        if (run != null) {
            recorder.recordStages(run);
        }
    }
}
