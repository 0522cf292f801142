package io.masticfold.core.stage;

import io.masticfold.core.forward.StageSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import org.jspecify.annotations.Nullable;

/** Tracks the results of one request's stages along their dependencies. Not safe for use by several threads. */
public final class StageGraph {

    private final List<StageSpec> stages;
    private final List<@Nullable String[]> results = new ArrayList<>();
    private final List<boolean[]> readFlags = new ArrayList<>();
    private final int[] missingResults;
    private final boolean[] started;
    private final int[] chainLengths;

    /**
     * Creates the graph of a request.
     *
     * @param stages stages of the route
     * @param pieces number of pieces of each stage; 0 omits the stage
     * @throws IllegalArgumentException if the lists differ in size or the stages form a cycle
     */
    public StageGraph(List<StageSpec> stages, List<Integer> pieces) {
        if (pieces.size() != stages.size()) {
            throw new IllegalArgumentException("pieces " + pieces + " do not match " + stages.size() + " stages");
        }
        this.stages = List.copyOf(stages);
        this.missingResults = new int[stages.size()];
        this.started = new boolean[stages.size()];
        for (int stage = 0; stage < stages.size(); stage++) {
            missingResults[stage] = pieces.get(stage);
            results.add(new String[pieces.get(stage)]);
            readFlags.add(new boolean[pieces.get(stage)]);
        }
        this.chainLengths = new int[stages.size()];
        for (int stage = 0; stage < stages.size(); stage++) {
            chainLengths[stage] = longestChain(stage, stages.size());
        }
    }

    private int longestChain(int stage, int depthLimit) {
        if (depthLimit == 0) {
            throw new IllegalArgumentException("the stages form a cycle");
        }
        int longest = 0;
        for (int other = 0; other < stages.size(); other++) {
            if (stages.get(other).inputStages().contains(stage)) {
                longest = Math.max(longest, longestChain(other, depthLimit - 1));
            }
        }
        return longest + 1;
    }

    /**
     * Returns the stages that are ready and were not returned before, and marks them as started. A stage is ready once
     * its inputs exist and no incomplete stage has a longer chain of stages to the end: the results of a shorter branch
     * that starts earlier would only occupy storage while they wait for the longer one.
     */
    public List<Integer> takeReadyStages() {
        List<Integer> ready = new ArrayList<>();
        int longest = 0;
        for (int stage = 0; stage < stages.size(); stage++) {
            if (!complete(stage)) {
                longest = Math.max(longest, chainLengths[stage]);
            }
        }
        for (int stage = 0; stage < stages.size(); stage++) {
            if (!started[stage] && chainLengths[stage] >= longest && inputsComplete(stage)) {
                started[stage] = true;
                ready.add(stage);
            }
        }
        return ready;
    }

    /** Returns the number of pieces of a stage. */
    public int pieces(int stage) {
        return results.get(stage).length;
    }

    /** Returns the result handles that every piece of a stage reads. */
    public List<String> inputHandles(int stage) {
        List<String> inputs = new ArrayList<>();
        stages.get(stage).inputStages().forEach(input -> inputs.addAll(resultHandles(input)));
        return inputs;
    }

    /** Records the result of a piece; returns false if the piece already has one. */
    public boolean recordResult(int stage, int piece, String handle) {
        @Nullable String[] handles = results.get(stage);
        if (handles[piece] != null) {
            return false;
        }
        handles[piece] = handle;
        missingResults[stage]--;
        return true;
    }

    /** Returns the number of stages on the longest chain from a stage to the end, the stage included. */
    public int chainLength(int stage) {
        return chainLengths[stage];
    }

    /** Returns whether every result of a stage exists. */
    public boolean complete(int stage) {
        return missingResults[stage] == 0;
    }

    /** Returns whether every result exists. */
    public boolean complete() {
        for (int count : missingResults) {
            if (count > 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns the result handles of the stages on which no other stage depends. */
    public List<String> finalHandles() {
        List<String> handles = new ArrayList<>();
        for (int stage = 0; stage < stages.size(); stage++) {
            if (withoutDependents(stage)) {
                handles.addAll(resultHandles(stage));
            }
        }
        return handles;
    }

    /** Records that a piece has read its inputs; returns whether it is the last piece of its stage to do so. */
    public boolean recordInputsRead(int stage, int piece) {
        boolean[] read = readFlags.get(stage);
        if (read[piece]) {
            return false;
        }
        read[piece] = true;
        return inputsReadByAll(stage);
    }

    private boolean inputsReadByAll(int stage) {
        for (boolean read : readFlags.get(stage)) {
            if (!read) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether a stage has dependents and all of them are complete, so that its results can be released. */
    public boolean dependentsComplete(int stage) {
        return allDependents(stage, this::complete);
    }

    /** Returns whether a stage has dependents and all of them have read its results. */
    public boolean readByDependents(int stage) {
        return allDependents(stage, dependent -> complete(dependent) || inputsReadByAll(dependent));
    }

    private boolean allDependents(int stage, IntPredicate condition) {
        boolean hasDependents = false;
        for (int other = 0; other < stages.size(); other++) {
            if (stages.get(other).inputStages().contains(stage)) {
                hasDependents = true;
                if (!condition.test(other)) {
                    return false;
                }
            }
        }
        return hasDependents;
    }

    /** Returns the handles of the results of a stage that exist. */
    public List<String> resultHandles(int stage) {
        List<String> handles = new ArrayList<>();
        for (@Nullable String handle : results.get(stage)) {
            if (handle != null) {
                handles.add(handle);
            }
        }
        return handles;
    }

    private boolean withoutDependents(int stage) {
        return stages.stream().noneMatch(other -> other.inputStages().contains(stage));
    }

    private boolean inputsComplete(int stage) {
        return stages.get(stage).inputStages().stream().allMatch(this::complete);
    }
}
