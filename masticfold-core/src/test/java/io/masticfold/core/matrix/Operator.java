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
final class Operator {

    private static final Duration PATIENCE = Duration.ofMillis(600);

    private final MatrixWorld world;
    private final ConfigSpec spec;
    private final long expected;
    private final MatrixAgent agent;
    private int entry;
    private boolean told;
    final String changeId;
    long acceptedNanos = Long.MAX_VALUE;
    boolean conflict;

    Operator(MatrixWorld world, int entry, MatrixAgent agent, String changeId, ConfigSpec spec) {
        this.world = world;
        this.entry = entry;
        this.agent = agent;
        this.changeId = changeId;
        this.spec = spec;
        this.expected = world.store.objects().stream()
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
        if (told) {
            return;
        }
        MatrixEntry through = world.entries.get(entry++ % world.entries.size());
        VirtualProcess process = through.process();
        process.schedule(Duration.ZERO, () -> {
            world.reached(Step.CHANGE_SUBMIT, new Spot(through, agent), MatrixWorld.MAIN);
            if (!process.dead()) {
                world.store.put(key(), expected, changeId, spec, answer -> {
                    world.reached(Step.CHANGE_ACCEPT, new Spot(through, agent), MatrixWorld.MAIN);
                    process.schedule(Duration.ZERO, () -> answered(through, answer));
                });
            }
        });
        world.clock.schedule(PATIENCE, this::submit);
    }

    private void answered(MatrixEntry through, @Nullable ConfigObject answer) {
        if (told || answer == null) {
            return;
        }
        told = true;
        conflict = !answer.changeId().equals(changeId);
        if (!conflict) {
            acceptedNanos = world.clock.nanoTime();
        }
        through.merge(List.of(answer));
    }

    boolean told() {
        return told;
    }

    boolean accepted() {
        return acceptedNanos != Long.MAX_VALUE;
    }
}
