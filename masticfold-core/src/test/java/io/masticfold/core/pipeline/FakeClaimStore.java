package io.masticfold.core.pipeline;

import io.masticfold.core.claim.Claim;
import io.masticfold.core.claim.ClaimKey;
import io.masticfold.core.claim.ClaimReply;
import io.masticfold.core.claim.ClaimStore;
import io.masticfold.core.claim.VersionedClaim;
import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Keeps claims in memory and simulates faults of the object API. */
final class FakeClaimStore implements ClaimStore {

    /** Lists the faults that a write can meet: its reply is lost, and it is applied, dropped or applied late. */
    enum Fault {
        NONE,
        LOST_APPLIED,
        LOST_DROPPED,
        LOST_APPLIED_LATE
    }

    static final Duration LATE_BY = Duration.ofMillis(150);

    private final ManualScheduler scheduler;
    private final Map<ClaimKey, VersionedClaim> claims = new HashMap<>();
    private long revision;
    final Deque<Fault> faults = new ArrayDeque<>();
    boolean down;
    boolean knownDown;
    Duration latency = Duration.ofMillis(2);
    int operations;

    FakeClaimStore(ManualScheduler scheduler) {
        this.scheduler = scheduler;
    }

    @Override
    public boolean available() {
        return !knownDown;
    }

    @Override
    public Duration retryAfter() {
        return knownDown ? Duration.ofSeconds(2) : Duration.ZERO;
    }

    @Override
    public void read(ClaimKey key, Duration timeout, Consumer<ClaimReply> reply) {
        operations++;
        if (down || latency.compareTo(timeout) > 0) {
            after(
                    down ? Duration.ZERO : timeout,
                    () -> reply.accept(new ClaimReply.Unavailable(Duration.ofSeconds(2))));
            return;
        }
        after(latency, () -> {
            VersionedClaim current = claims.get(key);
            reply.accept(current == null ? new ClaimReply.Absent() : new ClaimReply.Stored(current));
        });
    }

    @Override
    public void write(ClaimKey key, long expectedVersion, Claim claim, Duration timeout, Consumer<ClaimReply> reply) {
        operations++;
        if (down) {
            after(Duration.ZERO, () -> reply.accept(new ClaimReply.Unavailable(Duration.ofSeconds(2))));
            return;
        }
        Fault fault = faults.isEmpty() ? Fault.NONE : faults.poll();
        if (fault == Fault.NONE && latency.compareTo(timeout) <= 0) {
            after(latency, () -> reply.accept(apply(key, expectedVersion, claim)));
            return;
        }
        if (fault != Fault.LOST_DROPPED) {
            Duration delay = fault == Fault.LOST_APPLIED_LATE ? timeout.plus(LATE_BY) : latency;
            after(delay, () -> apply(key, expectedVersion, claim));
        }
        after(timeout, () -> reply.accept(new ClaimReply.Lost()));
    }

    private ClaimReply apply(ClaimKey key, long expectedVersion, Claim claim) {
        VersionedClaim current = claims.get(key);
        if ((current == null ? 0 : current.version()) != expectedVersion) {
            return new ClaimReply.Conflict(current);
        }
        VersionedClaim written = new VersionedClaim(claim, ++revision);
        claims.put(key, written);
        return new ClaimReply.Stored(written);
    }

    private void after(Duration delay, Runnable task) {
        scheduler.schedule(delay, task);
    }

    /** Returns the claim of a store that holds one; an arbitrary claim if it holds several. */
    Claim onlyClaim() {
        return claims.values().iterator().next().claim();
    }

    boolean empty() {
        return claims.isEmpty();
    }
}
