package io.masticfold.cli.client;

import io.masticfold.platform.store.StoreReply;
import io.masticfold.platform.store.StoredObject;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.jspecify.annotations.Nullable;

/** Keeps one object and applies one scripted fault to each write; writes of others can be placed in between. */
public final class FakeObjectAccess implements ObjectAccess {

    /** Lists what may happen to a write. */
    public enum Fault {
        NONE,
        UNAVAILABLE,
        LOST_BEFORE_EFFECT,
        LOST_AFTER_EFFECT,
        /** The write arrives after the answer was given up: just before the next write. */
        LOST_AND_LATE,
        /** Another operator writes just before this write arrives. */
        OVERTAKEN
    }

    private final Deque<Fault> faults = new ArrayDeque<>();
    private final List<Runnable> late = new ArrayList<>();
    private final List<String> effects = new ArrayList<>();
    private String otherSpec = "{}";
    private @Nullable StoredObject current;
    private long revision;

    /** Places a fault for the next write without one. */
    public void next(Fault fault) {
        faults.add(fault);
    }

    /** Writes as another operator. */
    public void writeAsOther(String spec) {
        otherSpec = spec;
        effect("zone", "a", "other", spec);
    }

    /** Sets what {@link Fault#OVERTAKEN} writes. */
    public void overtakeWith(String spec) {
        otherSpec = spec;
    }

    /** Returns the change ids in the order in which they took effect. */
    public List<String> effects() {
        late.forEach(Runnable::run);
        late.clear();
        return effects;
    }

    /** Returns the object as the store has it. */
    public @Nullable StoredObject current() {
        return current;
    }

    @Override
    public StoreReply get(String kind, String name) {
        return current != null && current.id().equals(kind + '/' + name)
                ? new StoreReply.Found(current)
                : new StoreReply.Absent();
    }

    @Override
    public StoreReply put(String kind, String name, long expectedVersion, String changeId, String spec) {
        late.forEach(Runnable::run);
        late.clear();
        Fault fault = faults.isEmpty() ? Fault.NONE : faults.poll();
        return switch (fault) {
            case NONE -> write(kind, name, expectedVersion, changeId, spec);
            case UNAVAILABLE -> new StoreReply.Unavailable(Duration.ofSeconds(1), "down");
            case LOST_BEFORE_EFFECT -> new StoreReply.Lost("cut");
            case LOST_AFTER_EFFECT -> {
                write(kind, name, expectedVersion, changeId, spec);
                yield new StoreReply.Lost("cut");
            }
            case LOST_AND_LATE -> {
                late.add(() -> write(kind, name, expectedVersion, changeId, spec));
                yield new StoreReply.Lost("late");
            }
            case OVERTAKEN -> {
                effect(kind, name, "other", otherSpec);
                yield write(kind, name, expectedVersion, changeId, spec);
            }
        };
    }

    private StoreReply write(String kind, String name, long expectedVersion, String changeId, String spec) {
        if ((current == null ? 0 : current.version()) != expectedVersion) {
            return new StoreReply.Conflict(current);
        }
        effect(kind, name, changeId, spec);
        return new StoreReply.Written(revision);
    }

    private void effect(String kind, String name, String changeId, String spec) {
        revision++;
        current = new StoredObject(kind, name, revision, changeId, spec);
        effects.add(changeId);
    }
}
