package io.masticfold.core.stage;

import io.masticfold.core.forward.StageSpec;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntPredicate;
import org.jspecify.annotations.Nullable;

/** Tracks which results of one request's stages exist. Used by one thread. */
public final class StageGraph {

    private final List<StageSpec> stages;
    private final List<@Nullable String[]> results = new ArrayList<>();
    private final List<boolean[]> inputsRead = new ArrayList<>();
    private final int[] missing;
    private final boolean[] started;
    private final int[] levels;

    /**
     * Creates the graph of a request.
     *
     * @param stages stages of the route
     * @param pieces number of pieces of each stage; 0 leaves the stage out
     * @throws IllegalArgumentException if the numbers do not match the stages
     */
    public StageGraph(List<StageSpec> stages, List<Integer> pieces) {
        if (pieces.size() != stages.size()) {
            throw new IllegalArgumentException("pieces " + pieces + " do not match " + stages.size() + " stages");
        }
        this.stages = List.copyOf(stages);
        this.missing = new int[stages.size()];
        this.started = new boolean[stages.size()];
        for (int stage = 0; stage < stages.size(); stage++) {
            missing[stage] = pieces.get(stage);
            results.add(new String[pieces.get(stage)]);
            inputsRead.add(new boolean[pieces.get(stage)]);
        }
        this.levels = new int[stages.size()];
        for (int stage = 0; stage < stages.size(); stage++) {
            levels[stage] = level(stage, stages.size());
        }
    }

    private int level(int stage, int bound) {
        if (bound == 0) {
            throw new IllegalArgumentException("the stages form a cycle");
        }
        int longest = 0;
        for (int next = 0; next < stages.size(); next++) {
            if (stages.get(next).after().contains(stage)) {
                longest = Math.max(longest, level(next, bound - 1));
            }
        }
        return longest + 1;
    }

    /**
     * Returns the stages that are due and were not returned before. A stage is due once its inputs exist and no chain
     * that is longer than the one it begins is still to be made: a result that is made earlier would only take room
     * while it waits for the others.
     */
    public List<Integer> startable() {
        List<Integer> ready = new ArrayList<>();
        int longest = 0;
        for (int stage = 0; stage < stages.size(); stage++) {
            if (!complete(stage)) {
                longest = Math.max(longest, levels[stage]);
            }
        }
        for (int stage = 0; stage < stages.size(); stage++) {
            if (!started[stage] && levels[stage] >= longest && inputsComplete(stage)) {
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

    /** Returns the handles that every piece of a stage reads. */
    public List<String> inputs(int stage) {
        List<String> inputs = new ArrayList<>();
        stages.get(stage).after().forEach(before -> inputs.addAll(handles(before)));
        return inputs;
    }

    /** Records the result of a piece; returns false if it was known before. */
    public boolean made(int stage, int piece, String handle) {
        @Nullable String[] handles = results.get(stage);
        if (handles[piece] != null) {
            return false;
        }
        handles[piece] = handle;
        missing[stage]--;
        return true;
    }

    /** Returns the length of the longest chain of stages from a stage to the end, the stage included. */
    public int level(int stage) {
        return levels[stage];
    }

    /** Returns whether every result of a stage exists. */
    public boolean complete(int stage) {
        return missing[stage] == 0;
    }

    /** Returns whether every result exists. */
    public boolean complete() {
        for (int count : missing) {
            if (count > 0) {
                return false;
            }
        }
        return true;
    }

    /** Returns the handles of the stages that no other stage follows. */
    public List<String> finalResults() {
        List<String> handles = new ArrayList<>();
        for (int stage = 0; stage < stages.size(); stage++) {
            if (last(stage)) {
                handles.addAll(handles(stage));
            }
        }
        return handles;
    }

    /** Records that a piece has read its inputs; returns whether it is the last of its stage to do so. */
    public boolean inputsRead(int stage, int piece) {
        boolean[] read = inputsRead.get(stage);
        if (read[piece]) {
            return false;
        }
        read[piece] = true;
        return readByAll(stage);
    }

    private boolean readByAll(int stage) {
        for (boolean read : inputsRead.get(stage)) {
            if (!read) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether every stage that reads the results of a stage is made, so that they can be released. */
    public boolean consumed(int stage) {
        return allFollowers(stage, this::complete);
    }

    /** Returns whether every stage that reads the results of a stage has read them. */
    public boolean readByFollowers(int stage) {
        return allFollowers(stage, next -> complete(next) || readByAll(next));
    }

    private boolean allFollowers(int stage, IntPredicate condition) {
        boolean followed = false;
        for (int next = 0; next < stages.size(); next++) {
            if (stages.get(next).after().contains(stage)) {
                followed = true;
                if (!condition.test(next)) {
                    return false;
                }
            }
        }
        return followed;
    }

    /** Returns the handles of a stage that exist. */
    public List<String> handles(int stage) {
        List<String> handles = new ArrayList<>();
        for (@Nullable String handle : results.get(stage)) {
            if (handle != null) {
                handles.add(handle);
            }
        }
        return handles;
    }

    private boolean last(int stage) {
        return stages.stream().noneMatch(other -> other.after().contains(stage));
    }

    private boolean inputsComplete(int stage) {
        return stages.get(stage).after().stream().allMatch(this::complete);
    }
}
