package io.masticfold.gateway.stage;

import io.masticfold.core.forward.StageSpec;
import io.masticfold.core.stage.CriticalPathEstimate;
import io.masticfold.core.stage.StageGraph;
import io.masticfold.core.time.Deadline;
import io.masticfold.gateway.protocol.PieceOutcome;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Runs the stages of one request and releases their results. Not thread-safe. */
public final class StageRun {

    private final StageDispatcher dispatcher;
    private final List<StageSpec> stages;
    private final String attemptId;
    private final String key;
    private final int rank;
    private final long startedNanos;
    private final long dueNanos;
    private final Deadline deadline;
    private final Deadline callerDeadline;
    private final @Nullable String readerZone;
    private final StageRunListener listener;
    private final StageGraph graph;
    private final StageForecast forecast;
    private final List<PendingPiece> pending = new ArrayList<>();
    private final Map<Integer, Integer> committed = new HashMap<>();
    private final Map<Integer, List<StageResult>> results = new HashMap<>();
    private @Nullable Duration expectedTime;
    private long begunNanos;
    private boolean ended;

    /**
     * Creates the run of a request.
     *
     * @param stages stages of the route
     * @param pieces number of pieces of each stage
     * @param attemptId id of the caller's attempt
     * @param key input key of the pieces that read no other results
     * @param rank rank of the request; 0 is the most urgent
     * @param startedNanos monotonic time at which the request was received
     * @param dueNanos monotonic time by which the stages must be complete for the request to meet its latency target
     * @param deadline time after which the results are not needed
     * @param callerDeadline time until which the caller may try again if the run is refused
     * @param readerZone availability zone in which the request is expected to run; null if unknown
     */
    public StageRun(
            StageDispatcher dispatcher,
            List<StageSpec> stages,
            List<Integer> pieces,
            String attemptId,
            String key,
            int rank,
            long startedNanos,
            long dueNanos,
            Deadline deadline,
            Deadline callerDeadline,
            @Nullable String readerZone,
            StageRunListener listener) {
        this.dispatcher = dispatcher;
        this.stages = List.copyOf(stages);
        this.attemptId = attemptId;
        this.key = key;
        this.rank = rank;
        this.startedNanos = startedNanos;
        this.dueNanos = dueNanos;
        this.deadline = deadline;
        this.callerDeadline = callerDeadline;
        this.readerZone = readerZone;
        this.listener = listener;
        this.graph = new StageGraph(stages, pieces);
        this.forecast = new StageForecast(dispatcher.servers(), this.stages, graph);
    }

    /** Returns whether no stage has any pieces. */
    public boolean empty() {
        return graph.complete();
    }

    /**
     * Starts the first stages.
     *
     * @param expected expected duration of all stages
     */
    void start(Duration expected) {
        if (!ended) {
            expectedTime = expected;
            begunNanos = dispatcher.nanoTime();
            for (int stage = 0; stage < stages.size(); stage++) {
                addCommitment(stage, graph.pieces(stage));
            }
            submitReadyStages();
        }
    }

    private void addCommitment(int stage, int pieces) {
        committed.merge(stage, pieces, Integer::sum);
        dispatcher.servers().commitments().add(stages.get(stage).pool(), pieces);
    }

    /**
     * Ends a run that has not started.
     *
     * @param retryAfter time after which the caller may retry
     */
    void refuse(StageRefusal reason, Duration retryAfter) {
        if (!ended) {
            ended = true;
            listener.stagesRefused(reason, retryAfter);
        }
    }

    /** Returns the duration of all stages as expected at their start; null before the start. */
    public @Nullable Duration expectedTime() {
        return expectedTime;
    }

    /** Returns the monotonic time at which the stages started; valid only after the start. */
    public long begunNanos() {
        return begunNanos;
    }

    boolean ended() {
        return ended;
    }

    int rank() {
        return rank;
    }

    long startedNanos() {
        return startedNanos;
    }

    Duration timeToDue(long nowNanos) {
        return Duration.ofNanos(dueNanos - nowNanos);
    }

    Deadline deadline() {
        return deadline;
    }

    Deadline callerDeadline() {
        return callerDeadline;
    }

    /** Returns the estimates for the critical path of the stages. */
    CriticalPathEstimate criticalPath() {
        return forecast.criticalPath();
    }

    /** Cancels the pieces that are not complete and releases all results. */
    public void cancel() {
        ended = true;
        dispatcher.cancel(pending);
        pending.clear();
        Map.copyOf(committed).forEach((stage, pieces) -> addCommitment(stage, -pieces));
        release();
    }

    /** Returns the size of the results that the request reads, in bytes, by availability zone of their servers. */
    public Map<String, Long> finalBytesByZone() {
        return bytesByZone(results.keySet());
    }

    private Map<String, Long> inputBytes(int stage) {
        return bytesByZone(stages.get(stage).inputStages());
    }

    private Map<String, Long> bytesByZone(Collection<Integer> of) {
        Map<String, Long> bytes = new HashMap<>();
        for (int stage : of) {
            long size = stages.get(stage).resultBytes();
            results.getOrDefault(stage, List.of()).forEach(result -> bytes.merge(result.zone(), size, Long::sum));
        }
        return bytes;
    }

    /** Allows the servers to evict the results, since the request has read them. */
    public void resultsRead() {
        results.values().forEach(dispatcher::markEvictable);
    }

    /** Releases all results. */
    public void release() {
        results.values().forEach(dispatcher::release);
        results.clear();
    }

    private void submitReadyStages() {
        for (int stage : graph.takeReadyStages()) {
            List<PendingPiece> pieces = new ArrayList<>();
            for (int piece = 0; piece < graph.pieces(stage); piece++) {
                pieces.add(newPiece(stage, piece));
            }
            if (!pieces.isEmpty()) {
                addCommitment(stage, -pieces.size());
                pending.addAll(pieces);
                dispatcher.submit(stages.get(stage).pool(), pieces, inputBytes(stage), readerZone);
            }
        }
    }

    private PendingPiece newPiece(int stage, int piece) {
        StageSpec spec = stages.get(stage);
        boolean reads = !spec.inputStages().isEmpty();
        return new PendingPiece(
                attemptId,
                stage,
                piece,
                reads ? "" : key,
                reads ? graph.inputHandles(stage) : List.of(),
                spec.resultBytes(),
                rank,
                startedNanos,
                dueNanos - forecast.downstreamNanos(stage),
                new Deadline(deadline.expiryNanos() - forecast.unloadedNanos(stage)),
                new PieceHandler(stage, piece));
    }

    private void pieceCompleted(int stage, int piece, StageResult result) {
        if (ended) {
            dispatcher.release(List.of(result));
            return;
        }
        pending.removeIf(other -> other.stage() == stage && other.piece() == piece);
        results.computeIfAbsent(stage, _stage -> new ArrayList<>()).add(result);
        if (!graph.recordResult(stage, piece, result.handle()) || !graph.complete(stage)) {
            return;
        }
        releaseConsumedResults();
        if (graph.complete()) {
            ended = true;
            listener.stagesDone(graph.finalHandles());
        } else {
            submitReadyStages();
        }
    }

    private void markReadResultsEvictable() {
        for (int stage = 0; stage < stages.size(); stage++) {
            List<StageResult> made = results.get(stage);
            if (made != null && graph.readByDependents(stage)) {
                dispatcher.markEvictable(made);
            }
        }
    }

    private void releaseConsumedResults() {
        for (int stage = 0; stage < stages.size(); stage++) {
            List<StageResult> made = results.get(stage);
            if (made != null && graph.dependentsComplete(stage)) {
                results.remove(stage);
                dispatcher.release(made);
            }
        }
    }

    private void pieceFailed(PieceOutcome.Kind kind) {
        if (!ended) {
            cancel();
            listener.stagesFailed(kind);
        }
    }

    /** Forwards the progress and the outcome of one piece to its run. */
    private final class PieceHandler implements PieceListener {

        private final int stage;
        private final int piece;

        PieceHandler(int stage, int piece) {
            this.stage = stage;
            this.piece = piece;
        }

        @Override
        public void inputsRead() {
            if (!ended && graph.recordInputsRead(stage, piece)) {
                markReadResultsEvictable();
            }
        }

        @Override
        public void completed(StageResult result) {
            StageRun.this.pieceCompleted(stage, piece, result);
        }

        @Override
        public void failed(PieceOutcome.Kind kind) {
            StageRun.this.pieceFailed(kind);
        }
    }
}
