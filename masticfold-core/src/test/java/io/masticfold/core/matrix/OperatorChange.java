package io.masticfold.core.matrix;

import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.model.ConfigSpec;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Changes one configuration object by conditional update. If no answer arrives, the update is submitted again, and the
 * change id of the current object tells whether this change was applied.
 */
final class OperatorChange {

    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(600);

    private final Simulation simulation;
    private final ConfigSpec spec;
    private final long expectedVersion;
    private final SimulatedAgent agent;
    private int nextEntry;
    private boolean answered;
    final String changeId;
    long acceptedNanos = Long.MAX_VALUE;
    boolean conflict;

    OperatorChange(Simulation simulation, int entry, SimulatedAgent agent, String changeId, ConfigSpec spec) {
        this.simulation = simulation;
        this.nextEntry = entry;
        this.agent = agent;
        this.changeId = changeId;
        this.spec = spec;
        this.expectedVersion = simulation.store.objects().stream()
                .filter(object -> object.key().equals(key()))
                .mapToLong(ConfigObject::version)
                .findFirst()
                .orElse(0);
    }

    ObjectKey key() {
        return new ObjectKey(spec.kind(), spec.name());
    }

    /** Submits the change, and again through the next entry as long as no answer arrives. */
    void submit() {
        if (answered) {
            return;
        }
        SimulatedEntry entry = simulation.entries.get(nextEntry++ % simulation.entries.size());
        SimulatedProcess process = entry.process();
        process.schedule(Duration.ZERO, () -> {
            simulation.stepReached(Step.CHANGE_SUBMIT, new FaultSite(entry, agent), Simulation.ID_PREFIX_UNDER_TEST);
            if (!process.dead()) {
                simulation.store.put(key(), expectedVersion, changeId, spec, answer -> {
                    simulation.stepReached(
                            Step.CHANGE_ACCEPT, new FaultSite(entry, agent), Simulation.ID_PREFIX_UNDER_TEST);
                    process.schedule(Duration.ZERO, () -> onAnswer(entry, answer));
                });
            }
        });
        simulation.clock.schedule(ANSWER_TIMEOUT, this::submit);
    }

    private void onAnswer(SimulatedEntry entry, @Nullable ConfigObject answer) {
        if (answered || answer == null) {
            return;
        }
        answered = true;
        conflict = !answer.changeId().equals(changeId);
        if (!conflict) {
            acceptedNanos = simulation.clock.nanoTime();
        }
        entry.merge(List.of(answer));
    }

    boolean isAnswered() {
        return answered;
    }

    boolean accepted() {
        return acceptedNanos != Long.MAX_VALUE;
    }
}
