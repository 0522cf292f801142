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
    static final long RUNNING_REQUEST_COST_TOKENS = 150;

    /** Cost of a request that waits at the engine, in prompt tokens: a queue shows that the engine is saturated. */
    static final long WAITING_REQUEST_COST_TOKENS = 4_000;

    /** Cost of an engine with recent failures, in prompt tokens; larger than any queue worth waiting in. */
    static final long RECENT_FAILURE_COST_TOKENS = 1_000_000;

    /** Cost of an engine in another availability zone, in prompt tokens; only breaks ties. */
    static final long CROSS_ZONE_COST_TOKENS = 50;

    /** Cost of reading a megabyte of stage results from another availability zone, in prompt tokens. */
    static final long CROSS_ZONE_COST_TOKENS_PER_MEGABYTE = 380;

    private static final double BYTES_PER_MEGABYTE = 1e6;

    /**
     * Returns whether a request should run where its prompt prefix is cached rather than where its stage results are.
     *
     * @param resultBytes size of the stage results that the request reads, in bytes
     */
    public static boolean prefersCachedPrompt(PromptPrefix prompt, long resultBytes) {
        return prompt.prefixTokens() > resultBytes / BYTES_PER_MEGABYTE * CROSS_ZONE_COST_TOKENS_PER_MEGABYTE;
    }

    /**
     * Returns the engine with the lowest cost, empty if there is none.
     *
     * @param resultBytes size of the stage results that the request reads, in bytes, by availability zone
     */
    public static Optional<TargetLoadView> choose(
            List<TargetLoadView> engines, PromptPrefix prompt, Map<String, Long> resultBytes) {
        long totalBytes =
                resultBytes.values().stream().mapToLong(Long::longValue).sum();
        TargetLoadView preferred = null;
        long highestWeight = Long.MIN_VALUE;
        for (TargetLoadView engine : engines) {
            long weight =
                    RendezvousHashing.weight(prompt.hash(), engine.target().id());
            if (!engine.recentlyFailed() && (preferred == null || weight > highestWeight)) {
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
                    + (long) (movedBytes / BYTES_PER_MEGABYTE * CROSS_ZONE_COST_TOKENS_PER_MEGABYTE);
            if (best == null || cost < lowestCost) {
                best = engine;
                lowestCost = cost;
            }
        }
        return Optional.ofNullable(best);
    }

    private EnginePlacement() {}

    /** Returns the engine that ranks first for a prompt prefix, regardless of its load; empty if there is none. */
    public static Optional<TargetRecord> preferred(List<TargetRecord> engines, PromptPrefix prompt) {
        return engines.stream()
                .max(Comparator.comparingLong(engine -> RendezvousHashing.weight(prompt.hash(), engine.id())));
    }

    /**
     * Returns the prompt tokens to process before the first output token of a request, weighted by the engine's pace,
     * plus the penalties.
     */
    static long cost(TargetLoadView engine, PromptPrefix prompt, boolean cachesPrefix) {
        int running = Math.max(engine.inFlight(), engine.reportedRunning());
        long uncachedTokens = prompt.totalTokens() - (cachesPrefix ? prompt.prefixTokens() : 0);
        long work = uncachedTokens
                + engine.queuedTokens()
                + running * RUNNING_REQUEST_COST_TOKENS
                + engine.reportedWaiting() * WAITING_REQUEST_COST_TOKENS;
        return (long) (work * engine.pace())
                + (engine.recentlyFailed() ? RECENT_FAILURE_COST_TOKENS : 0)
                + (engine.sameZone() ? 0 : CROSS_ZONE_COST_TOKENS);
    }
}
