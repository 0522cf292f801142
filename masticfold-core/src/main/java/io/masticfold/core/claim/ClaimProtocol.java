package io.masticfold.core.claim;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.link.AgentLinks;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.Scheduler;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Prevents a non-idempotent stage from running twice. At any time the claim store names the only attempt that may run.
 * Another attempt replaces it only after the agent of that attempt, or the entry that created it, has established that
 * it did not run and never will.
 */
public final class ClaimProtocol {

    private final ClaimStore store;
    private final AgentLinks links;
    private final ClaimSettings settings;
    private final Telemetry telemetry;
    private final TimeSource time;

    /** Creates the protocol for a claim store and the agent links of an entry. */
    public ClaimProtocol(
            ClaimStore store, AgentLinks links, ClaimSettings settings, Telemetry telemetry, TimeSource time) {
        this.store = store;
        this.links = links;
        this.settings = settings;
        this.telemetry = telemetry;
        this.time = time;
    }

    /** Returns whether the store is believed to be available, without calling it. */
    public boolean available() {
        return store.available();
    }

    /** Returns the time after which the store may be available again. */
    public Duration retryAfter() {
        return store.retryAfter();
    }

    /**
     * Makes the store name a new attempt, or determines why it may not.
     *
     * @param key key of the claim
     * @param candidate claim that names the new attempt, which has never been dispatched
     * @param knownNotRun attempts of this request that are known not to have run
     * @param heldClaim claim that this request acquired last, for an attempt that did not run; null if none
     * @param scheduler event loop of the request; the listener is called on it
     * @param deadline end of the request's window
     * @param listener receives the progress and the outcome
     */
    public void acquire(
            ClaimKey key,
            Claim candidate,
            Set<AttemptId> knownNotRun,
            @Nullable VersionedClaim heldClaim,
            Scheduler scheduler,
            Deadline deadline,
            ClaimListener listener) {
        new ClaimAcquisition(this, key, candidate, knownNotRun, scheduler, deadline, listener)
                .start(heldClaim == null ? 0 : heldClaim.version());
    }

    /**
     * Asks the agent that a claim names for the outcome of the attempt; an attempt it has not received is sealed.
     *
     * @param claim the claim, which names the attempt, its target and the agent's incarnation
     * @param scheduler event loop of the request, on which the reply is called once, even if the agent never answers
     * @param deadline end of the request's window
     * @param reply receives the outcome
     */
    public void seal(Claim claim, Scheduler scheduler, Deadline deadline, Consumer<SealOutcome> reply) {
        AgentLink link = links.link(claim.target());
        if (link == null || !link.usable()) {
            telemetry.count("claim_agent_unreachable");
            scheduler.schedule(Duration.ZERO, () -> reply.accept(SealOutcome.of(SealOutcome.State.UNKNOWN)));
            return;
        }
        AtomicBoolean answered = new AtomicBoolean();
        Cancellable timeout = scheduler.schedule(
                min(settings.sealTimeout(), deadline.remaining(time)),
                () -> runOnce(answered, () -> reply.accept(SealOutcome.of(SealOutcome.State.UNKNOWN))));
        link.seal(
                claim.attempt(),
                claim.agent(),
                outcome -> scheduler.schedule(Duration.ZERO, () -> {
                    timeout.cancel();
                    runOnce(answered, () -> reply.accept(outcome));
                }));
    }

    /**
     * Stores the result of an acquired claim, so that a replay is possible even if the agent is no longer available.
     * The write is made once and its reply is not awaited: without the stored result a replay asks the agent.
     *
     * @param key key of the claim
     * @param heldClaim the claim as stored
     * @param result result of the claim's attempt
     */
    public void storeResult(ClaimKey key, VersionedClaim heldClaim, Payload result) {
        if (result.size() > settings.maxStoredResultBytes()) {
            telemetry.count("claim_result_too_large");
            return;
        }
        store.write(
                key,
                heldClaim.version(),
                heldClaim.claim().completed(result),
                settings.operationTimeout(),
                this::countResultWrite);
    }

    private void countResultWrite(ClaimReply reply) {
        telemetry.count(reply instanceof ClaimReply.Stored ? "claim_completed" : "claim_completion_failed");
    }

    ClaimStore store() {
        return store;
    }

    ClaimSettings settings() {
        return settings;
    }

    Telemetry telemetry() {
        return telemetry;
    }

    TimeSource time() {
        return time;
    }

    Duration operationTimeout(Deadline deadline) {
        return min(settings.operationTimeout(), deadline.remaining(time));
    }

    private static void runOnce(AtomicBoolean done, Runnable task) {
        if (done.compareAndSet(false, true)) {
            task.run();
        }
    }

    private static Duration min(Duration first, Duration second) {
        return first.compareTo(second) <= 0 ? first : second;
    }
}
