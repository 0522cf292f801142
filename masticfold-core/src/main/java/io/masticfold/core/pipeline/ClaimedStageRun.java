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
    private final Set<AttemptId> refused = new HashSet<>();
    private @Nullable VersionedClaim held;
    private @Nullable StageOutcome last;

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
    void launch() {
        Optional<Route> chosen = choose();
        if (chosen.isEmpty()) {
            failWithoutTarget(last);
            return;
        }
        Route route = chosen.get();
        Incarnation agent = route.link().agentIncarnation();
        if (agent == null) {
            last = new StageRefused(ErrorKind.TARGET_UNREACHABLE, Duration.ZERO);
            route.release(last, route.link().load(), 0);
            retryOrFail(last);
            return;
        }
        Claim wanted = new Claim(
                run().context().ids().next(),
                route.target().name(),
                agent,
                fingerprint,
                run().context().time().now().toEpochMilli(),
                null);
        run().context()
                .claims()
                .settle(
                        key,
                        wanted,
                        refused,
                        held,
                        run().scheduler(),
                        run().request().deadline(),
                        follow(route));
    }

    private ClaimListener follow(Route route) {
        return new ClaimListener() {
            @Override
            public void found(AttemptId attempt) {
                run().account().mayRun(attempt, false);
            }

            @Override
            public void notRun(AttemptId attempt) {
                run().account().settle(attempt, Ran.NO);
            }

            @Override
            public void decided(ClaimDecision decision) {
                ClaimedStageRun.this.decided(route, decision);
            }
        };
    }

    private void decided(Route route, ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Held claimed && !run().ended() && run().budgetFits(index())) {
            held = claimed.claim();
            Claim claim = claimed.claim().claim();
            dispatch(claim.attempt(), route, claim.agent());
            return;
        }
        route.release(
                new StageRefused(ErrorKind.CANCELLED, Duration.ZERO),
                route.link().load(),
                0);
        if (!run().ended()) {
            answer(decision);
        }
    }

    private void answer(ClaimDecision decision) {
        if (decision instanceof ClaimDecision.Held) {
            run().fail(
                            ErrorKind.BUDGET_TOO_SHORT,
                            "stage '" + stage().name() + "' does not fit into the time left after its claim",
                            Duration.ZERO);
        } else if (decision instanceof ClaimDecision.Replayed replayed) {
            replay(replayed.claim(), replayed.result());
        } else if (decision instanceof ClaimDecision.Spent spent) {
            failSpent(spent.claim());
        } else if (decision instanceof ClaimDecision.Running) {
            failInProgress();
        } else if (decision instanceof ClaimDecision.Undecided) {
            failUnknown();
        } else if (decision instanceof ClaimDecision.KeyReused) {
            run().fail(
                            ErrorKind.IDEMPOTENCY_KEY_REUSED,
                            "the idempotency key was used with another request body",
                            Duration.ZERO);
        } else if (decision instanceof ClaimDecision.Unsettled unsettled) {
            run().fail(
                            ErrorKind.CLAIM_STORE_UNAVAILABLE,
                            "the claim of stage '" + stage().name() + "' could not be settled",
                            unsettled.retryAfter());
        }
    }

    private void replay(Claim claim, Payload result) {
        run().account().mayRun(claim.attempt(), false);
        run().account().settle(claim.attempt(), Ran.YES);
        run().context().telemetry().count("claim_replayed");
        complete(0, result, claim.target());
    }

    private void failSpent(Claim claim) {
        run().account().mayRun(claim.attempt(), false);
        run().account().settle(claim.attempt(), Ran.YES);
        run().fail(
                        ErrorKind.TARGET_FAILED,
                        "stage '" + stage().name() + "' ran and left no result; it does not run again",
                        Duration.ZERO);
    }

    private void failInProgress() {
        run().fail(ErrorKind.IN_PROGRESS, "stage '" + stage().name() + "' is running", Duration.ZERO);
    }

    private void failUnknown() {
        run().fail(
                        ErrorKind.OUTCOME_UNKNOWN,
                        "nobody can tell whether stage '" + stage().name() + "' ran; it does not run again",
                        Duration.ZERO);
    }

    @Override
    void ended(StageAttempt attempt, StageOutcome outcome, boolean late) {
        if (outcome instanceof StageCompleted completed) {
            // A late result is stored as well, so that the caller's next retry receives it.
            keep(attempt, completed);
        }
        if (!late) {
            last = outcome;
            proceed(attempt, outcome);
        }
    }

    private void proceed(StageAttempt attempt, StageOutcome outcome) {
        if (outcome instanceof StageCompleted completed) {
            complete(attempt, completed);
            return;
        }
        if (kind(outcome) == ErrorKind.SEALED) {
            // Another run of the same request sealed the attempt in order to run the stage itself. If this run claimed
            // the stage again, the two runs would seal each other's attempts until no target is left.
            failInProgress();
            return;
        }
        switch (ran(outcome)) {
            case NO -> retry(attempt, outcome);
            case YES -> fail(outcome);
            case UNKNOWN -> settle(attempt, outcome);
            default -> throw new IllegalStateException("unexpected execution state: " + outcome.ran());
        }
    }

    private void keep(StageAttempt attempt, StageCompleted completed) {
        if (held != null && held.claim().attempt().equals(attempt.id())) {
            run().context().claims().complete(key, held, completed.result());
        }
    }

    private void retry(StageAttempt attempt, StageOutcome outcome) {
        refused.add(attempt.id());
        retryOrFail(outcome);
    }

    private void settle(StageAttempt attempt, StageOutcome outcome) {
        if (held == null) {
            failUnknown();
            return;
        }
        Claim claim = held.claim();
        run().context()
                .claims()
                .seal(claim, run().scheduler(), run().request().deadline(), seal -> settled(attempt, outcome, seal));
    }

    private void settled(StageAttempt attempt, StageOutcome outcome, SealOutcome seal) {
        if (run().ended() || held == null) {
            return;
        }
        Claim claim = held.claim();
        switch (seal.state()) {
            case DONE -> {
                Payload result = seal.result();
                if (result == null) {
                    failSpent(claim);
                } else {
                    run().context().claims().complete(key, held, result);
                    replay(claim, result);
                }
            }
            case NOT_RUN -> {
                run().account().settle(attempt.id(), Ran.NO);
                retry(attempt, outcome);
            }
            case RUNNING -> failInProgress();
            case UNKNOWN -> failUnknown();
            default -> throw new IllegalStateException("unexpected seal state: " + seal.state());
        }
    }
}
