package io.masticfold.core.check;

import io.masticfold.core.forward.StageSpec;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;

/** Order in which the stages of a route run. Immutable. */
final class StageGraph {

    private final List<StageSpec> stages;
    private final List<Integer> order;

    /**
     * Creates the order of stages.
     *
     * @param stages stages by number; their inputs are numbers of stages
     */
    StageGraph(List<StageSpec> stages) {
        this.stages = List.copyOf(stages);
        this.order = order(this.stages);
    }

    private static List<Integer> order(List<StageSpec> stages) {
        int[] missingInputs = new int[stages.size()];
        List<List<Integer>> followers = new ArrayList<>();
        Deque<Integer> ready = new ArrayDeque<>();
        stages.forEach(_stage -> followers.add(new ArrayList<>()));
        for (int stage = 0; stage < stages.size(); stage++) {
            List<Integer> inputs = stages.get(stage).inputStages();
            missingInputs[stage] = inputs.size();
            for (int input : inputs) {
                followers.get(input).add(stage);
            }
            if (inputs.isEmpty()) {
                ready.add(stage);
            }
        }
        List<Integer> order = new ArrayList<>();
        while (!ready.isEmpty()) {
            int stage = ready.remove();
            order.add(stage);
            for (int follower : followers.get(stage)) {
                if (--missingInputs[follower] == 0) {
                    ready.add(follower);
                }
            }
        }
        return List.copyOf(order);
    }

    /** Returns whether stages wait for each other. */
    boolean hasCycle() {
        return order.size() < stages.size();
    }

    /** Returns the longest sum of durations along a path; empty if there is a cycle. */
    OptionalDouble longestPath(ToDoubleFunction<StageSpec> duration) {
        if (hasCycle()) {
            return OptionalDouble.empty();
        }
        double longest = 0;
        double[] ends = new double[stages.size()];
        for (int stage : order) {
            StageSpec spec = stages.get(stage);
            double begin = 0;
            for (int input : spec.inputStages()) {
                begin = Math.max(begin, ends[input]);
            }
            ends[stage] = begin + duration.applyAsDouble(spec);
            longest = Math.max(longest, ends[stage]);
        }
        return OptionalDouble.of(longest);
    }
}
