package io.masticfold.testkit.targets;

import java.util.ArrayDeque;
import java.util.List;
import java.util.stream.Stream;

/** Keeps the latest executions of a target. Not safe for several threads. */
final class ExecutionLog {

    /** Most ended executions kept, so that a long trial does not fill the memory. */
    private static final int MAX_ENDED = 100_000;

    private final ArrayDeque<Execution> ended = new ArrayDeque<>();

    void add(Execution execution) {
        if (ended.size() == MAX_ENDED) {
            ended.removeFirst();
        }
        ended.addLast(execution);
    }

    List<Execution> with(Stream<Execution> open) {
        return Stream.concat(ended.stream(), open).toList();
    }
}
