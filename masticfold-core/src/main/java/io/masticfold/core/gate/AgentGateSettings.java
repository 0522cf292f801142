package io.masticfold.core.gate;

import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.LedgerSettings;
import java.time.Duration;

/**
 * Holds the settings of an agent's gate.
 *
 * @param target name of the target the agent stands beside
 * @param incarnation incarnation of the agent
 * @param ledger bounds of the ledger
 * @param lateResultGrace time a running non-idempotent call may take beyond its budget, so that its result can still be
 *     kept for a retry that asks for it
 * @param maxRetryAfter longest time after which a refusal suggests a retry
 */
public record AgentGateSettings(
        String target,
        Incarnation incarnation,
        LedgerSettings ledger,
        Duration lateResultGrace,
        Duration maxRetryAfter) {

    private static final Duration DEFAULT_GRACE = Duration.ofSeconds(10);
    private static final Duration DEFAULT_MAX_RETRY_AFTER = Duration.ofSeconds(30);

    /** Checks the ranges. */
    public AgentGateSettings {
        if (lateResultGrace.isNegative()) {
            throw new IllegalArgumentException("lateResultGrace must not be negative: " + lateResultGrace);
        }
        if (maxRetryAfter.isNegative()) {
            throw new IllegalArgumentException("maxRetryAfter must not be negative: " + maxRetryAfter);
        }
    }

    /** Creates the settings with defaults for everything but the identity. */
    public static AgentGateSettings of(String target, Incarnation incarnation) {
        return new AgentGateSettings(
                target, incarnation, LedgerSettings.DEFAULT, DEFAULT_GRACE, DEFAULT_MAX_RETRY_AFTER);
    }

    /** Returns the same settings with other bounds of the ledger. */
    public AgentGateSettings withLedger(LedgerSettings newLedger) {
        return new AgentGateSettings(target, incarnation, newLedger, lateResultGrace, maxRetryAfter);
    }
}
