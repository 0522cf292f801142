package io.masticfold.cli.config;

import io.masticfold.cli.client.PlatformSession;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.platform.json.ConfigValidator;
import io.masticfold.platform.json.JsonProblem;
import io.masticfold.platform.json.JsonSpecCodec;
import io.masticfold.platform.json.SpecEntry;
import io.masticfold.platform.store.StoredObject;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Holds the objects the store has before a change, by key. */
final class StoredSet {

    private static final List<String> KINDS =
            Arrays.stream(ObjectKind.values()).map(ObjectKind::code).toList();

    private final Map<ObjectKey, SpecEntry> entries = new HashMap<>();
    private final Map<ObjectKey, Long> versions = new HashMap<>();

    private StoredSet() {}

    static StoredSet read(PlatformSession session, JsonSpecCodec codec) throws CommandException {
        StoredSet stored = new StoredSet();
        for (StoredObject object : session.list(KINDS).objects()) {
            if (object.spec() != null) {
                stored.add(object, object.spec(), codec);
            }
        }
        return stored;
    }

    private void add(StoredObject object, String spec, JsonSpecCodec codec) {
        ObjectKind kind = ObjectKind.ofCode(object.kind()).orElseThrow();
        ObjectKey key = new ObjectKey(kind, object.name());
        versions.put(key, object.version());
        try {
            entries.put(
                    key,
                    new SpecEntry("object API", 1, "$", object.version(), codec.decode(kind, object.name(), spec)));
        } catch (MasticfoldException e) {
            // An invalid object can be replaced, but nothing can refer to it.
            entries.remove(key);
        }
    }

    /** Returns whether the store has the same specification already. */
    boolean holds(SpecEntry entry) {
        SpecEntry stored = entries.get(entry.key());
        return stored != null && stored.spec().equals(entry.spec());
    }

    /** Returns the version a write has to expect: the one the file names, else the one that was read. */
    long expectedVersion(SpecEntry entry) {
        return entry.version() != 0 ? entry.version() : versions.getOrDefault(entry.key(), 0L);
    }

    /**
     * Checks the set as it will be after the change.
     *
     * @throws CommandException if a changed object has a fault
     */
    void check(List<SpecEntry> changes) throws CommandException {
        Set<ObjectKey> changed = changes.stream().map(SpecEntry::key).collect(Collectors.toCollection(HashSet::new));
        List<SpecEntry> after = new ArrayList<>();
        entries.values().stream()
                .filter(entry -> !changed.contains(entry.key()))
                .forEach(after::add);
        after.addAll(changes);
        Set<String> files = changes.stream().map(SpecEntry::source).collect(Collectors.toSet());
        List<JsonProblem> problems = ConfigValidator.validate(after).stream()
                .filter(problem -> files.contains(problem.source()))
                .toList();
        if (!problems.isEmpty()) {
            throw new CommandException(
                    ExitCode.INVALID,
                    problems.stream().map(JsonProblem::toString).collect(Collectors.joining("\n")));
        }
    }
}
