package io.masticfold.platform.json;

import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.DesiredModel;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Target;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;

/** Validates a complete set of objects: finds dangling references and duplicate names, workspaces and keys. */
public final class ConfigValidator {

    private final Collection<SpecEntry> entries;
    private final Set<ObjectKey> keys;
    private final Set<String> pools;
    private final List<JsonProblem> problems = new ArrayList<>();

    private ConfigValidator(Collection<SpecEntry> entries) {
        this.entries = entries;
        this.keys = entries.stream().map(SpecEntry::key).collect(Collectors.toCollection(TreeSet::new));
        this.pools = entries.stream()
                .map(SpecEntry::spec)
                .filter(Target.class::isInstance)
                .map(spec -> ((Target) spec).pool())
                .collect(Collectors.toCollection(TreeSet::new));
    }

    /** Returns the problems of a set: duplicates first, then dangling references, each in the order of the objects. */
    public static List<JsonProblem> validate(Collection<SpecEntry> entries) {
        ConfigValidator validator = new ConfigValidator(entries);
        validator.checkDuplicates();
        entries.forEach(validator::checkReferences);
        return List.copyOf(validator.problems);
    }

    private void checkDuplicates() {
        Map<String, SpecEntry> seen = new HashMap<>();
        for (SpecEntry entry : entries) {
            checkUnique(
                    seen,
                    entry,
                    "name",
                    entry.spec().kind().code() + " name",
                    entry.spec().name());
            if (entry.spec() instanceof Contract contract) {
                checkUnique(seen, entry, "workspace", "workspace of a contract", contract.workspace());
                checkUnique(seen, entry, "keySha256", "caller key of a contract", contract.keySha256());
            } else if (entry.spec() instanceof Target target) {
                checkUnique(seen, entry, "agent", "agent address", target.agent());
            }
        }
    }

    private void checkUnique(Map<String, SpecEntry> seen, SpecEntry entry, String field, String what, String value) {
        SpecEntry first = seen.putIfAbsent(what + ' ' + value, entry);
        if (first != null) {
            String place = first.key() + " at " + first.source() + ':' + first.line();
            problems.add(entry.problem(field, value, what + " is used twice, first by " + place));
        }
    }

    private void checkReferences(SpecEntry entry) {
        if (entry.spec() instanceof Contract contract) {
            contract.pipelines().forEach(name -> checkReference(entry, "pipelines", ObjectKind.PIPELINE, name));
        } else if (entry.spec() instanceof Pipeline pipeline) {
            pipeline.stages().forEach(stage -> checkPool(entry, stage.pool()));
        } else if (entry.spec() instanceof Target target) {
            checkReference(entry, "zone", ObjectKind.ZONE, target.zone());
            DesiredModel desired = target.desired();
            if (desired != null) {
                checkReference(entry, "desired.model", ObjectKind.MODEL, desired.model());
            }
        }
    }

    private void checkPool(SpecEntry entry, String pool) {
        if (!pools.contains(pool)) {
            String accepted = "pool has no target; accepted: " + joinNames(pools);
            problems.add(entry.problem("stages", pool, accepted));
        }
    }

    private void checkReference(SpecEntry entry, String field, ObjectKind kind, String name) {
        if (!keys.contains(new ObjectKey(kind, name))) {
            Set<String> names = keys.stream()
                    .filter(key -> key.kind() == kind)
                    .map(ObjectKey::name)
                    .collect(Collectors.toCollection(TreeSet::new));
            problems.add(entry.problem(field, name, "no such " + kind.code() + "; accepted: " + joinNames(names)));
        }
    }

    private static String joinNames(Set<String> names) {
        return names.isEmpty() ? "none defined" : String.join(", ", names);
    }
}
