package io.masticfold.core.placement;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.routing.RendezvousSupport;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the engine of a request by the prompt tokens that it has to read before the first token appears: those of
 * the request that it does not keep, and those that wait before it. All gateways rank engines by rendezvous hashing of
 * the shared beginning of the prompt, so that requests with the same beginning meet at the same engine without any
 * message, and spread to the next engine in rank when the first is loaded.
 */
public final class EnginePlacement {

    /** Cost of a running request, in prompt tokens: each one lengthens the steps of all others. */
    static final long TOKENS_PER_RUNNING = 150;

    /** Cost of a request that waits at the engine, in prompt tokens: it shows that the engine is full. */
    static final long TOKENS_PER_WAITING = 4_000;

    /** Cost of an engine that failed a moment ago, in prompt tokens; larger than any queue worth waiting in. */
    static final long TOKENS_SUSPECT = 1_000_000;

    /** Cost of another availability zone, in prompt tokens; decides only between equals. */
    static final long TOKENS_OTHER_ZONE = 50;

    /** Cost of a megabyte of stage results that is read from another availability zone, in prompt tokens. */
    static final long TOKENS_PER_MEGABYTE = 380;

    private static final double BYTES_PER_MEGABYTE = 1e6;

    /**
     * Returns whether a request should run where its prompt is kept rather than where its stage results are.
     *
     * @param resultBytes size of the results that the request reads, in bytes
     */
    public static boolean followsPrompt(PromptKey prompt, long resultBytes) {
        return prompt.sharedTokens() > resultBytes / BYTES_PER_MEGABYTE * TOKENS_PER_MEGABYTE;
    }

    /**
     * Chooses an engine; empty if there is none.
     *
     * @param resultBytes size of the stage results that the request reads, in bytes, by availability zone
     */
    public static Optional<TargetLoadView> choose(
            List<TargetLoadView> engines, PromptKey prompt, Map<String, Long> resultBytes) {
        long allBytes = resultBytes.values().stream().mapToLong(Long::longValue).sum();
        TargetLoadView preferred = null;
        long highest = Long.MIN_VALUE;
        for (TargetLoadView engine : engines) {
            long weight =
                    RendezvousSupport.weight(prompt.hash(), engine.target().id());
            if (!engine.suspect() && (preferred == null || weight > highest)) {
                preferred = engine;
                highest = weight;
            }
        }
        TargetLoadView best = null;
        long lowest = Long.MAX_VALUE;
        for (TargetLoadView engine : engines) {
            long movedBytes =
                    allBytes - resultBytes.getOrDefault(engine.target().zone(), 0L);
            long cost = cost(engine, prompt, engine == preferred)
                    + (long) (movedBytes / BYTES_PER_MEGABYTE * TOKENS_PER_MEGABYTE);
            if (best == null || cost < lowest) {
                best = engine;
                lowest = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private EnginePlacement() {}

    /** Returns the engine that keeps the shared beginning of a prompt, whatever its load; empty if there is none. */
    public static Optional<TargetRecord> preferred(List<TargetRecord> engines, PromptKey prompt) {
        return engines.stream()
                .max(Comparator.comparingLong(engine -> RendezvousSupport.weight(prompt.hash(), engine.id())));
    }

    /** Returns the prompt tokens read before the first token of a request appears, with its penalties. */
    static long cost(TargetLoadView engine, PromptKey prompt, boolean keepsSharedParts) {
        int running = Math.max(engine.inFlight(), engine.reportedRunning());
        long own = prompt.totalTokens() - (keepsSharedParts ? prompt.sharedTokens() : 0);
        return own
                + engine.queuedTokens()
                + running * TOKENS_PER_RUNNING
                + engine.reportedWaiting() * TOKENS_PER_WAITING
                + (engine.suspect() ? TOKENS_SUSPECT : 0)
                + (engine.sameZone() ? 0 : TOKENS_OTHER_ZONE);
    }
}
