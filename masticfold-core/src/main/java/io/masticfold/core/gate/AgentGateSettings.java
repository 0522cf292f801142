package io.masticfold.core.gate;

import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.LedgerSettings;
import java.time.Duration;

/**
 * Settings of an {@link AgentGate}.
 *
 * @param target name of the target that the agent serves
 * @param incarnation incarnation of the agent
 * @param ledger size limits of the attempt ledger
 * @param lateResultGrace time that a running non-idempotent call may exceed its budget, so that its result can still be
 *     stored for a later retry
 * @param maxRetryAfter upper bound of the retry delay suggested in a refusal
 */
public record AgentGateSettings(
        String target,
        Incarnation incarnation,
        LedgerSettings ledger,
        Duration lateResultGrace,
        Duration maxRetryAfter) {

    private static final Duration DEFAULT_LATE_RESULT_GRACE = Duration.ofSeconds(10);
    private static final Duration DEFAULT_MAX_RETRY_AFTER = Duration.ofSeconds(30);

    /** Validates the durations. */
    public AgentGateSettings {
        if (lateResultGrace.isNegative()) {
            throw new IllegalArgumentException("lateResultGrace must not be negative: " + lateResultGrace);
        }
        if (maxRetryAfter.isNegative()) {
            throw new IllegalArgumentException("maxRetryAfter must not be negative: " + maxRetryAfter);
        }
    }

    /** Creates settings for a target and an agent with default values for all others. */
    public static AgentGateSettings of(String target, Incarnation incarnation) {
        return new AgentGateSettings(
                target, incarnation, LedgerSettings.DEFAULT, DEFAULT_LATE_RESULT_GRACE, DEFAULT_MAX_RETRY_AFTER);
    }

    /** Returns a copy with different ledger settings. */
    public AgentGateSettings withLedger(LedgerSettings newLedger) {
        return new AgentGateSettings(target, incarnation, newLedger, lateResultGrace, maxRetryAfter);
    }
}
