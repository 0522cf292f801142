package io.masticfold.gateway.stage;

import io.masticfold.core.forward.StageSpec;
import io.masticfold.core.stage.StageGraph;
import io.masticfold.core.stage.StagePath;
import java.time.Duration;
import java.util.List;

/** Estimates how long the stages of one request will take, given the backlogs of the pools. Not thread-safe. */
final class StageForecast {

    private final StageServers servers;
    private final List<StageSpec> stages;
    private final StageGraph graph;

    /**
     * Creates a forecast.
     *
     * @param stages stages of the route
     * @param graph pieces of the request and their dependencies
     */
    StageForecast(StageServers servers, List<StageSpec> stages, StageGraph graph) {
        this.servers = servers;
        this.stages = stages;
        this.graph = graph;
    }

    /** Returns the estimates for the critical path of the stages. */
    StagePath path() {
        Duration unloaded = Duration.ZERO;
        Duration expected = Duration.ZERO;
        Duration backlog = Duration.ZERO;
        for (int stage = 0; stage < stages.size(); stage++) {
            if (graph.pieces(stage) > 0) {
                unloaded = longer(unloaded, finish(stage, false));
                expected = longer(expected, finish(stage, true));
                backlog = longer(backlog, wait(stage, start(stage, false), false));
            }
        }
        return new StagePath(unloaded, expected, backlog);
    }

    /** Returns the time from now to the end of a stage, with or without the backlogs of the pools. */
    private Duration finish(int stage, boolean loaded) {
        Duration start = start(stage, loaded);
        Duration call = servers.callTime(stages.get(stage).pool(), graph.pieces(stage));
        Duration end = start.plus(call);
        return loaded ? end.plus(wait(stage, start, true)) : end;
    }

    private Duration start(int stage, boolean loaded) {
        Duration start = Duration.ZERO;
        for (int before : stages.get(stage).after()) {
            if (graph.pieces(before) > 0) {
                start = longer(start, finish(before, loaded));
            }
        }
        return start;
    }

    /** Returns the part of a pool's backlog that will be left when the request reaches the stage. */
    private Duration wait(int stage, Duration start, boolean onTime) {
        Duration left = servers.backlog(stages.get(stage).pool(), onTime).minus(start);
        return longer(left, Duration.ZERO);
    }

    private static Duration longer(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** Returns the usual duration of the longest chain of stages after a stage, in nanoseconds. */
    long afterNanos(int stage) {
        long longest = 0;
        for (int next = 0; next < stages.size(); next++) {
            if (stages.get(next).after().contains(stage)) {
                long usual = servers.usualTime(stages.get(next).pool()).toNanos();
                longest = Math.max(longest, usual + afterNanos(next));
            }
        }
        return longest;
    }
}
