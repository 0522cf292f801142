package io.masticfold.core.stage;

import io.masticfold.core.forward.StageSpec;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Checks whether the pieces that a request asks for can be made, before anything is set up for them. A stage without
 * pieces is omitted. A piece of a stage that reads no others is made from the request's key; any other piece reads the
 * results of the stages before it and of no others, so that it cannot be made if all of these are omitted.
 */
public final class StagePieces {

    private StagePieces() {}

    /**
     * Returns why the pieces cannot be made; empty if they can.
     *
     * @param stages stages of the route
     * @param pieces number of pieces of each stage; empty if the request states none or malformed ones
     * @param key input key of the request; empty if it has none
     * @param maxPieces largest number of pieces of all stages together
     */
    public static Optional<String> problem(List<StageSpec> stages, List<Integer> pieces, String key, long maxPieces) {
        if (pieces.size() != stages.size()) {
            return Optional.of("the request must state " + stages.size() + " numbers of pieces, not " + pieces.size());
        }
        long total = 0;
        for (int stage = 0; stage < stages.size(); stage++) {
            int count = pieces.get(stage);
            if (count < 0) {
                return Optional.of("stage " + stage + " has a negative number of pieces");
            }
            total += count;
            Optional<String> missing = count == 0 ? Optional.empty() : missingInput(stages, pieces, key, stage);
            if (missing.isPresent()) {
                return missing;
            }
        }
        return total > maxPieces ? Optional.of("the request has more than " + maxPieces + " pieces") : Optional.empty();
    }

    private static Optional<String> missingInput(List<StageSpec> stages, List<Integer> pieces, String key, int stage) {
        List<Integer> before = stages.get(stage).inputStages();
        if (before.isEmpty()) {
            return key.isEmpty()
                    ? Optional.of("stage " + stage + " lacks its input: the request has no key")
                    : Optional.empty();
        }
        if (before.stream().anyMatch(input -> pieces.get(input) > 0)) {
            return Optional.empty();
        }
        String omitted = before.stream().map(String::valueOf).collect(Collectors.joining(", "));
        return Optional.of("stage " + stage + " lacks its input: omitted are all stages before it: " + omitted);
    }
}
