package io.masticfold.core.claim;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.Scheduler;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Acquires one claim for one new attempt. Every write names the same attempt, so a write whose reply was lost may take
 * effect at any later time without causing this or another entry to dispatch an attempt a second time.
 */
final class ClaimAcquisition {

    private final ClaimProtocol protocol;
    private final ClaimKey key;
    private final Claim candidate;
    private final Set<AttemptId> knownNotRun;
    private final Scheduler scheduler;
    private final Deadline deadline;
    private final ClaimListener listener;
    private int rounds;
    private int readBacks;
    private boolean decided;

    ClaimAcquisition(
            ClaimProtocol protocol,
            ClaimKey key,
            Claim candidate,
            Set<AttemptId> knownNotRun,
            Scheduler scheduler,
            Deadline deadline,
            ClaimListener listener) {
        this.protocol = protocol;
        this.key = key;
        this.candidate = candidate;
        this.knownNotRun = new HashSet<>(knownNotRun);
        this.scheduler = scheduler;
        this.deadline = deadline;
        this.listener = listener;
    }

    void start(long expectedVersion) {
        write(expectedVersion);
    }

    private void write(long expectedVersion) {
        if (deadline.expired(protocol.time())) {
            decideNotAcquired(Duration.ZERO);
            return;
        }
        protocol.store()
                .write(
                        key,
                        expectedVersion,
                        candidate,
                        protocol.operationTimeout(deadline),
                        onEventLoop(reply -> handleWriteReply(expectedVersion, reply)));
    }

    private void handleWriteReply(long expectedVersion, ClaimReply reply) {
        if (reply instanceof ClaimReply.Stored found) {
            resolve(found.claim());
        } else if (reply instanceof ClaimReply.Conflict conflict) {
            protocol.telemetry().count("claim_conflict");
            if (conflict.current() == null) {
                readBack(expectedVersion);
            } else {
                resolve(conflict.current());
            }
        } else if (reply instanceof ClaimReply.Unavailable unavailable) {
            decideNotAcquired(unavailable.retryAfter());
        } else {
            protocol.telemetry().count("claim_answer_lost");
            readBack(expectedVersion);
        }
    }

    private void readBack(long expectedVersion) {
        if (readBacks++ >= protocol.settings().readBacks() || deadline.expired(protocol.time())) {
            decideNotAcquired(Duration.ZERO);
            return;
        }
        protocol.store()
                .read(
                        key,
                        protocol.operationTimeout(deadline),
                        onEventLoop(reply -> handleReadBackReply(expectedVersion, reply)));
    }

    private void handleReadBackReply(long expectedVersion, ClaimReply reply) {
        if (reply instanceof ClaimReply.Stored found) {
            if (found.claim().version() == expectedVersion) {
                write(expectedVersion);
            } else {
                resolve(found.claim());
            }
        } else if (reply instanceof ClaimReply.Absent) {
            // The claim does not exist, or retention removed one whose attempt is known not to have run.
            write(0);
        } else {
            scheduler.schedule(protocol.settings().readBackDelay(), () -> readBack(expectedVersion));
        }
    }

    private void resolve(VersionedClaim current) {
        Claim claim = current.claim();
        if (claim.attempt().equals(candidate.attempt())) {
            decide(new ClaimDecision.Acquired(current));
        } else if (!claim.fingerprint().equals(candidate.fingerprint())) {
            decide(new ClaimDecision.KeyReused());
        } else if (claim.result() != null) {
            listener.attemptFound(claim.attempt());
            decide(new ClaimDecision.Replayed(claim, claim.result()));
        } else if (rounds++ >= protocol.settings().rounds()) {
            protocol.telemetry().count("claim_contended");
            decide(new ClaimDecision.Running(claim));
        } else if (knownNotRun.contains(claim.attempt())) {
            write(current.version());
        } else {
            listener.attemptFound(claim.attempt());
            protocol.seal(claim, scheduler, deadline, outcome -> handleSealOutcome(current, outcome));
        }
    }

    private void handleSealOutcome(VersionedClaim current, SealOutcome outcome) {
        Claim claim = current.claim();
        switch (outcome.state()) {
            case DONE ->
                decide(
                        outcome.result() == null
                                ? new ClaimDecision.EndedWithoutResult(claim)
                                : new ClaimDecision.Replayed(claim, outcome.result()));
            case RUNNING -> decide(new ClaimDecision.Running(claim));
            case NOT_RUN -> {
                knownNotRun.add(claim.attempt());
                listener.attemptNotRun(claim.attempt());
                protocol.telemetry().count("claim_moved");
                write(current.version());
            }
            case UNKNOWN -> decide(new ClaimDecision.OutcomeUnknown(claim));
            default -> throw new IllegalStateException("unexpected seal state: " + outcome.state());
        }
    }

    private void decideNotAcquired(Duration retryAfter) {
        protocol.telemetry().count("claim_unsettled");
        decide(new ClaimDecision.NotAcquired(retryAfter));
    }

    private void decide(ClaimDecision decision) {
        if (!decided) {
            decided = true;
            listener.decided(decision);
        }
    }

    private Consumer<ClaimReply> onEventLoop(Consumer<ClaimReply> next) {
        return reply -> scheduler.schedule(Duration.ZERO, () -> next.accept(reply));
    }
}
