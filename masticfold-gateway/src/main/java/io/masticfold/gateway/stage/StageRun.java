package io.masticfold.gateway.stage;

import io.masticfold.core.forward.StageSpec;
import io.masticfold.core.stage.StageGraph;
import io.masticfold.core.time.Deadline;
import io.masticfold.gateway.protocol.PieceOutcome;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Makes the results that one request reads, and releases them. Used by one thread. */
public final class StageRun {

    private final StagePools pools;
    private final List<StageSpec> stages;
    private final String attemptId;
    private final String key;
    private final int rank;
    private final long startedNanos;
    private final Deadline deadline;
    private final StageRunListener listener;
    private final StageGraph graph;
    private final List<PendingPiece> pending = new ArrayList<>();
    private final Map<Integer, List<StageResult>> results = new HashMap<>();
    private boolean ended;

    /**
     * Creates the run of a request.
     *
     * @param stages stages of the route
     * @param pieces number of pieces of each stage
     * @param attemptId id of the caller's attempt
     * @param key key of the pieces that read no other results
     * @param rank rank of the request; 0 is the most urgent
     * @param startedNanos time at which the request was read
     * @param deadline time after which the results are of no use
     */
    public StageRun(
            StagePools pools,
            List<StageSpec> stages,
            List<Integer> pieces,
            String attemptId,
            String key,
            int rank,
            long startedNanos,
            Deadline deadline,
            StageRunListener listener) {
        this.pools = pools;
        this.stages = List.copyOf(stages);
        this.attemptId = attemptId;
        this.key = key;
        this.rank = rank;
        this.startedNanos = startedNanos;
        this.deadline = deadline;
        this.listener = listener;
        this.graph = new StageGraph(stages, pieces);
    }

    /** Starts the stages that read no other results; returns whether there is anything to make. */
    public boolean start() {
        if (graph.complete()) {
            return false;
        }
        advance();
        return true;
    }

    /** Gives up the pieces that are not made and releases every result. */
    public void cancel() {
        ended = true;
        pending.forEach(piece -> pools.pool(stages.get(piece.stage).pool()).cancel(piece));
        pending.clear();
        release();
    }

    /** Releases every result. */
    public void release() {
        results.forEach(
                (stage, made) -> made.forEach(pools.pool(stages.get(stage).pool())::release));
        results.clear();
    }

    private void advance() {
        for (int stage : graph.startable()) {
            for (int piece = 0; piece < graph.pieces(stage); piece++) {
                submit(stage, piece);
            }
        }
    }

    private void submit(int stage, int piece) {
        StageSpec spec = stages.get(stage);
        boolean reads = !spec.after().isEmpty();
        PendingPiece next = new PendingPiece(
                attemptId,
                stage,
                piece,
                spec.resultBytes(),
                reads ? "" : key,
                reads ? graph.inputs(stage) : List.of(),
                rank,
                startedNanos,
                deadline,
                new Outcome(stage, piece));
        pending.add(next);
        pools.pool(spec.pool()).add(next);
    }

    private void made(int stage, int piece, StageResult result) {
        if (ended) {
            pools.pool(stages.get(stage).pool()).release(result);
            return;
        }
        pending.removeIf(other -> other.stage == stage && other.piece == piece);
        results.computeIfAbsent(stage, _stage -> new ArrayList<>()).add(result);
        if (!graph.made(stage, piece, result.handle()) || !graph.complete(stage)) {
            return;
        }
        releaseConsumed();
        if (graph.complete()) {
            ended = true;
            listener.stagesDone(graph.finalResults());
        } else {
            advance();
        }
    }

    private void releaseConsumed() {
        for (int stage = 0; stage < stages.size(); stage++) {
            List<StageResult> made = results.get(stage);
            if (made != null && graph.consumed(stage)) {
                results.remove(stage);
                made.forEach(pools.pool(stages.get(stage).pool())::release);
            }
        }
    }

    private void failed(PieceOutcome.Kind kind) {
        if (!ended) {
            cancel();
            listener.stagesFailed(kind);
        }
    }

    /** Passes the outcome of one piece on to its run. */
    private final class Outcome implements PieceListener {

        private final int stage;
        private final int piece;

        Outcome(int stage, int piece) {
            this.stage = stage;
            this.piece = piece;
        }

        @Override
        public void made(StageResult result) {
            StageRun.this.made(stage, piece, result);
        }

        @Override
        public void failed(PieceOutcome.Kind kind) {
            StageRun.this.failed(kind);
        }
    }
}
