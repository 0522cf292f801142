package io.masticfold.core.placement;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.routing.RendezvousHashing;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Chooses the engine of a request by the number of prompt tokens that the engine has to process before the first output
 * token: the tokens of the request that are not cached there, and those of the requests queued ahead of it. All
 * gateways rank engines by rendezvous hashing of the prompt prefix, so that requests with the same prefix go to the
 * same engine without coordination, and spread to other engines when it is loaded.
 */
public final class EnginePlacement {

    /** Cost of a running request, in prompt tokens: each one slows down the decoding steps of all others. */
    static final long TOKENS_PER_RUNNING = 150;

    /** Cost of a request that waits at the engine, in prompt tokens: a queue shows that the engine is saturated. */
    static final long TOKENS_PER_WAITING = 4_000;

    /** Cost of an engine with recent failures, in prompt tokens; larger than any queue worth waiting in. */
    static final long TOKENS_SUSPECT = 1_000_000;

    /** Cost of an engine in another availability zone, in prompt tokens; only breaks ties. */
    static final long TOKENS_OTHER_ZONE = 50;

    /** Cost of reading a megabyte of stage results from another availability zone, in prompt tokens. */
    static final long TOKENS_PER_MEGABYTE = 380;

    private static final double BYTES_PER_MEGABYTE = 1e6;

    /**
     * Returns whether a request should run where its prompt prefix is cached rather than where its stage results are.
     *
     * @param resultBytes size of the stage results that the request reads, in bytes
     */
    public static boolean followsPrompt(PromptKey prompt, long resultBytes) {
        return prompt.sharedTokens() > resultBytes / BYTES_PER_MEGABYTE * TOKENS_PER_MEGABYTE;
    }

    /**
     * Returns the engine with the lowest cost, empty if there is none.
     *
     * @param resultBytes size of the stage results that the request reads, in bytes, by availability zone
     */
    public static Optional<TargetLoadView> choose(
            List<TargetLoadView> engines, PromptKey prompt, Map<String, Long> resultBytes) {
        long totalBytes =
                resultBytes.values().stream().mapToLong(Long::longValue).sum();
        TargetLoadView preferred = null;
        long highestWeight = Long.MIN_VALUE;
        for (TargetLoadView engine : engines) {
            long weight =
                    RendezvousHashing.weight(prompt.hash(), engine.target().id());
            if (!engine.suspect() && (preferred == null || weight > highestWeight)) {
                preferred = engine;
                highestWeight = weight;
            }
        }
        TargetLoadView best = null;
        long lowestCost = Long.MAX_VALUE;
        for (TargetLoadView engine : engines) {
            long movedBytes =
                    totalBytes - resultBytes.getOrDefault(engine.target().zone(), 0L);
            long cost = cost(engine, prompt, engine == preferred)
                    + (long) (movedBytes / BYTES_PER_MEGABYTE * TOKENS_PER_MEGABYTE);
            if (best == null || cost < lowestCost) {
                best = engine;
                lowestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private EnginePlacement() {}

    /** Returns the engine that ranks first for a prompt prefix, regardless of its load; empty if there is none. */
    public static Optional<TargetRecord> preferred(List<TargetRecord> engines, PromptKey prompt) {
        return engines.stream()
                .max(Comparator.comparingLong(engine -> RendezvousHashing.weight(prompt.hash(), engine.id())));
    }

    /** Returns the prompt tokens to process before the first output token of a request, plus the penalties. */
    static long cost(TargetLoadView engine, PromptKey prompt, boolean cachesPrefix) {
        int running = Math.max(engine.inFlight(), engine.reportedRunning());
        long uncachedTokens = prompt.totalTokens() - (cachesPrefix ? prompt.sharedTokens() : 0);
        return uncachedTokens
                + engine.queuedTokens()
                + running * TOKENS_PER_RUNNING
                + engine.reportedWaiting() * TOKENS_PER_WAITING
                + (engine.suspect() ? TOKENS_SUSPECT : 0)
                + (engine.sameZone() ? 0 : TOKENS_OTHER_ZONE);
    }
}
