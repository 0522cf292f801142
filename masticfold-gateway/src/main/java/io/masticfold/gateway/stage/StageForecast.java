package io.masticfold.gateway.stage;

import io.masticfold.core.forward.StageSpec;
import io.masticfold.core.stage.CriticalPathEstimate;
import io.masticfold.core.stage.StageGraph;
import java.time.Duration;
import java.util.List;

/** Estimates how long the stages of one request will take, given the backlogs of the pools. Not thread-safe. */
final class StageForecast {

    private final StageServerRegistry servers;
    private final List<StageSpec> stages;
    private final StageGraph graph;

    /**
     * Creates a forecast.
     *
     * @param stages stages of the route
     * @param graph pieces of the request and their dependencies
     */
    StageForecast(StageServerRegistry servers, List<StageSpec> stages, StageGraph graph) {
        this.servers = servers;
        this.stages = stages;
        this.graph = graph;
    }

    /** Returns the estimates for the critical path of the stages. */
    CriticalPathEstimate criticalPath() {
        Duration unloaded = Duration.ZERO;
        Duration expected = Duration.ZERO;
        Duration backlog = Duration.ZERO;
        Duration inputWait = Duration.ZERO;
        Duration inputLifetime = Duration.ofMillis(Long.MAX_VALUE);
        for (int stage = 0; stage < stages.size(); stage++) {
            if (graph.pieces(stage) > 0) {
                unloaded = max(unloaded, endTime(stage, false));
                expected = max(expected, endTime(stage, true));
                Duration wait = remainingBacklog(stage, startTime(stage, false), false);
                backlog = max(backlog, wait);
                for (int input : stages.get(stage).inputStages()) {
                    inputWait = max(inputWait, wait);
                    Duration stored = servers.resultLifetime(stages.get(input).pool());
                    inputLifetime = stored.compareTo(inputLifetime) < 0 ? stored : inputLifetime;
                }
            }
        }
        return new CriticalPathEstimate(unloaded, expected, backlog, inputWait, inputLifetime);
    }

    /** Returns the time from now to the end of a stage, with or without the backlogs of the pools. */
    private Duration endTime(int stage, boolean loaded) {
        Duration start = startTime(stage, loaded);
        Duration call = servers.callTime(stages.get(stage).pool(), graph.pieces(stage));
        Duration end = start.plus(call);
        return loaded ? end.plus(remainingBacklog(stage, start, true)) : end;
    }

    private Duration startTime(int stage, boolean loaded) {
        Duration start = servers.pause(stages.get(stage).pool());
        for (int before : stages.get(stage).inputStages()) {
            if (graph.pieces(before) > 0) {
                start = max(start, endTime(before, loaded));
            }
        }
        return start;
    }

    /** Returns the part of a pool's backlog that will be left when the request reaches the stage. */
    private Duration remainingBacklog(int stage, Duration start, boolean onTime) {
        Duration left = servers.backlog(stages.get(stage).pool(), onTime).minus(start);
        return max(left, Duration.ZERO);
    }

    private static Duration max(Duration one, Duration other) {
        return one.compareTo(other) >= 0 ? one : other;
    }

    /** Returns the usual duration of the longest chain of stages after a stage, in nanoseconds. */
    long downstreamNanos(int stage) {
        long longest = 0;
        for (int next = 0; next < stages.size(); next++) {
            if (stages.get(next).inputStages().contains(stage)) {
                long usual = servers.averageLatency(stages.get(next).pool()).toNanos();
                longest = Math.max(longest, usual + downstreamNanos(next));
            }
        }
        return longest;
    }

    /** Returns the duration of a stage and of the longest chain of stages after it in idle pools, in nanoseconds. */
    long unloadedNanos(int stage) {
        long longest = 0;
        for (int next = 0; next < stages.size(); next++) {
            if (graph.pieces(next) > 0 && stages.get(next).inputStages().contains(stage)) {
                longest = Math.max(longest, unloadedNanos(next));
            }
        }
        return longest
                + servers.callTime(stages.get(stage).pool(), graph.pieces(stage))
                        .toNanos();
    }
}
