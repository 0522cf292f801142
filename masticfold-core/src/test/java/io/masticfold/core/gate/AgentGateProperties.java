package io.masticfold.core.gate;

import io.masticfold.core.attempt.LedgerSettings;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tag;
import net.jqwik.api.Tuple;

/**
 * Checks the invariants of the gate with random histories: no attempt runs twice or after it was reported as not run,
 * calls stay within the concurrency and cold-start limits, no call starts while the zone, target or agent takes no
 * work, and each dispatch gets exactly one outcome.
 */
@Tag("property")
final class AgentGateProperties {

    /** Limits small enough for histories to evict attempt records and the marks of entries. */
    private static final LedgerSettings SMALL_LEDGER = new LedgerSettings(6, Duration.ofMillis(300), 60, 40, 2);

    @Property(seed = "20261204", tries = 3_000)
    void theInvariantsHoldOverEveryHistory(@ForAll("histories") List<GateStep> history) {
        play(history, LedgerSettings.DEFAULT);
    }

    @Property(seed = "20261205", tries = 3_000)
    void theInvariantsHoldWhenTheLedgerEvicts(@ForAll("histories") List<GateStep> history) {
        play(history, SMALL_LEDGER);
    }

    private static void play(List<GateStep> history, LedgerSettings ledger) {
        GateHistory run = new GateHistory(ledger);
        history.forEach(run::play);
        run.finish();
    }

    @Provide
    Arbitrary<List<GateStep>> histories() {
        Arbitrary<GateStep.Action> actions = Arbitraries.frequencyOf(
                Tuple.of(6, Arbitraries.of(GateStep.Action.DISPATCH, GateStep.Action.DISPATCH_NON_IDEMPOTENT)),
                Tuple.of(5, Arbitraries.of(GateStep.Action.COMPLETE)),
                Tuple.of(6, Arbitraries.of(GateStep.Action.class)));
        return Combinators.combine(
                        actions,
                        Arbitraries.integers().between(0, 99),
                        Arbitraries.integers().between(0, 99))
                .as(GateStep::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(150);
    }
}
