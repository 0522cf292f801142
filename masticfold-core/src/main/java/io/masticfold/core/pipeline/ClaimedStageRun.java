package io.masticfold.core.pipeline;

import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.SealOutcome;
import io.masticfold.core.attempt.StageCompleted;
import io.masticfold.core.attempt.StageOutcome;
import io.masticfold.core.attempt.StageRefused;
import io.masticfold.core.claim.Claim;
import io.masticfold.core.claim.ClaimDecision;
import io.masticfold.core.claim.ClaimKey;
import io.masticfold.core.claim.ClaimListener;
import io.masticfold.core.claim.VersionedClaim;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.Ran;
import io.masticfold.core.model.Stage;
import io.masticfold.core.routing.Route;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/**
 * Executes a non-idempotent stage. An attempt is dispatched only after the claim store names it, and another attempt
 * follows only if the previous one is known not to have run. If several entries process the same request, the last one
 * to acquire the claim runs the stage, and the others report that it is in progress.
 */
final class ClaimedStageRun extends AbstractStageRun {

    private final ClaimKey key;
    private final String fingerprint;
    private final Set<AttemptId> notRun = new HashSet<>();
    private @Nullable VersionedClaim heldClaim;
    private @Nullable StageOutcome lastOutcome;

    ClaimedStageRun(PipelineRun run, Stage stage, int index, Payload input) {
        super(run, stage, index, input);
        PipelineRequest request = run.request();
        this.key = new ClaimKey(
                request.contract().workspace(),
                FingerprintSupport.ofKey(request.idempotencyKey()),
                request.pipeline().name(),
                stage.name());
        this.fingerprint = FingerprintSupport.of(request.body());
    }

    @Override
    void startAttempt() {
        Optional<Route> chosen = chooseRoute();
        if (chosen.isEmpty()) {
            failWithoutTarget(lastOutcome);
            return;
        }
        Route route = chosen.get();
        Incarnation agent = route.link().agentIncarnation();
        if (agent == null) {
            lastOutcome = new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO);
            route.release(lastOutcome, route.link().load(), 0);
            retryOrFail(lastOutcome);
            return;
        }
        Claim candidate = new Claim(
                run().context().attemptIds().next(),
                route.target().name(),
                agent,
                fingerprint,
                run().context().time().now().toEpochMilli(),
                null);
        run().context()
                .claims()
                .acquire(
                        key,
                        candidate,
                        notRun,
                        heldClaim,
                        run().scheduler(),
                        run().request().deadline(),
                        claimListener(route));
    }

    private ClaimListener claimListener(Route route) {
        return new ClaimListener() {
            @Override
            public void attemptFound(AttemptId attempt) {
                run().executions().add(attempt, false);
            }

            @Override
            public void attemptNotRun(AttemptId attempt) {
                run().executions().record(attempt, Ran.NO);
            }

            @Override
            public void decided(ClaimDecision decision) {
                ClaimedStageRun.this.handleDecision(route, decision);
            }
        };
    }

    private void handleDecision(Route route, ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Acquired acquired && !run().ended() && run().fitsRemainingTime(index())) {
            heldClaim = acquired.claim();
            Claim claim = acquired.claim().claim();
            dispatch(claim.attempt(), route, claim.agent());
            return;
        }
        route.release(
                new StageRefused(ErrorKind.CANCELLED, Duration.ZERO),
                route.link().load(),
                0);
        if (!run().ended()) {
            endWithoutDispatch(decision);
        }
    }

    private void endWithoutDispatch(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Acquired) {
            run().fail(
                            ErrorKind.BUDGET_TOO_SHORT,
                            "stage '" + stage().name() + "' does not fit into the time left after its claim",
                            Duration.ZERO);
        } else if (decision instanceof ClaimDecision.Replayed replayed) {
            replay(replayed.claim(), replayed.result());
        } else if (decision instanceof ClaimDecision.EndedWithoutResult ended) {
            failWithoutResult(ended.claim());
        } else if (decision instanceof ClaimDecision.Running) {
            failInProgress();
        } else if (decision instanceof ClaimDecision.OutcomeUnknown) {
            failOutcomeUnknown();
        } else if (decision instanceof ClaimDecision.KeyReused) {
            run().fail(
                            ErrorKind.IDEMPOTENCY_KEY_REUSED,
                            "the idempotency key was used with another request body",
                            Duration.ZERO);
        } else if (decision instanceof ClaimDecision.NotAcquired notAcquired) {
            run().fail(
                            ErrorKind.CLAIM_STORE_UNAVAILABLE,
                            "the claim of stage '" + stage().name() + "' could not be settled",
                            notAcquired.retryAfter());
        }
    }

    private void replay(Claim claim, Payload result) {
        run().executions().add(claim.attempt(), false);
        run().executions().record(claim.attempt(), Ran.YES);
        run().context().telemetry().count("claim_replayed");
        complete(0, result, claim.target());
    }

    private void failWithoutResult(Claim claim) {
        run().executions().add(claim.attempt(), false);
        run().executions().record(claim.attempt(), Ran.YES);
        run().fail(
                        ErrorKind.TARGET_FAILED,
                        "stage '" + stage().name() + "' ran and left no result; it does not run again",
                        Duration.ZERO);
    }

    private void failInProgress() {
        run().fail(ErrorKind.IN_PROGRESS, "stage '" + stage().name() + "' is running", Duration.ZERO);
    }

    private void failOutcomeUnknown() {
        run().fail(
                        ErrorKind.OUTCOME_UNKNOWN,
                        "nobody can tell whether stage '" + stage().name() + "' ran; it does not run again",
                        Duration.ZERO);
    }

    @Override
    void handleOutcome(StageAttempt attempt, StageOutcome outcome, boolean late) {
        if (outcome instanceof StageCompleted completed) {
            // A late result is stored as well, so that the caller's next retry receives it.
            storeResult(attempt, completed);
        }
        if (!late) {
            lastOutcome = outcome;
            continueAfter(attempt, outcome);
        }
    }

    private void continueAfter(StageAttempt attempt, StageOutcome outcome) {
        if (outcome instanceof StageCompleted completed) {
            complete(attempt, completed);
            return;
        }
        if (errorKind(outcome) == ErrorKind.SEALED) {
            // Another run of the same request sealed the attempt in order to run the stage itself. If this run claimed
            // the stage again, the two runs would seal each other's attempts until no target is left.
            failInProgress();
            return;
        }
        switch (ran(outcome)) {
            case NO -> retryAfterNotRun(attempt, outcome);
            case YES -> fail(outcome);
            case UNKNOWN -> sealAttempt(attempt, outcome);
            default -> throw new IllegalStateException("unexpected execution state: " + outcome.ran());
        }
    }

    private void storeResult(StageAttempt attempt, StageCompleted completed) {
        if (heldClaim != null && heldClaim.claim().attempt().equals(attempt.id())) {
            run().context().claims().storeResult(key, heldClaim, completed.result());
        }
    }

    private void retryAfterNotRun(StageAttempt attempt, StageOutcome outcome) {
        notRun.add(attempt.id());
        retryOrFail(outcome);
    }

    private void sealAttempt(StageAttempt attempt, StageOutcome outcome) {
        if (heldClaim == null) {
            failOutcomeUnknown();
            return;
        }
        Claim claim = heldClaim.claim();
        run().context()
                .claims()
                .seal(
                        claim,
                        run().scheduler(),
                        run().request().deadline(),
                        sealOutcome -> handleSealOutcome(attempt, outcome, sealOutcome));
    }

    private void handleSealOutcome(StageAttempt attempt, StageOutcome outcome, SealOutcome sealOutcome) {
        if (run().ended() || heldClaim == null) {
            return;
        }
        Claim claim = heldClaim.claim();
        switch (sealOutcome.state()) {
            case DONE -> {
                Payload result = sealOutcome.result();
                if (result == null) {
                    failWithoutResult(claim);
                } else {
                    run().context().claims().storeResult(key, heldClaim, result);
                    replay(claim, result);
                }
            }
            case NOT_RUN -> {
                run().executions().record(attempt.id(), Ran.NO);
                retryAfterNotRun(attempt, outcome);
            }
            case RUNNING -> failInProgress();
            case UNKNOWN -> failOutcomeUnknown();
            default -> throw new IllegalStateException("unexpected seal state: " + sealOutcome.state());
        }
    }
}
