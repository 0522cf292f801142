package io.masticfold.gateway.store;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.directory.TargetTable;
import io.masticfold.gateway.log.GatewayEvent;
import io.masticfold.gateway.log.RateLimitedLog;
import io.masticfold.gateway.protocol.StoreDialect;
import io.masticfold.gateway.protocol.StoreKind;
import io.masticfold.gateway.protocol.StoreObject;
import java.util.List;
import java.util.Optional;

/** Maintains the target table. Not thread-safe. */
final class TargetListener extends AbstractKindListener {

    private final StoreDialect dialect;
    private final TargetTable table;
    private final PlatformView view;
    private boolean complete;

    TargetListener(
            StoreDialect dialect,
            TargetTable table,
            PlatformView view,
            StoreReachability reachability,
            RateLimitedLog log) {
        super(StoreKind.TARGETS, reachability, log);
        this.dialect = dialect;
        this.table = table;
        this.view = view;
    }

    /** Returns whether the targets have been read at least once. */
    boolean complete() {
        return complete;
    }

    /** Publishes the present state of the table. */
    void publish() {
        view.replaceTargets(table.snapshot());
    }

    @Override
    public void listed(List<StoreObject> objects, long revision, boolean restored) {
        logIfRestored(revision, restored);
        List<TargetRecord> targets =
                objects.stream().map(this::decode).flatMap(Optional::stream).toList();
        if (restored) {
            table.replaceAllRestored(targets);
        } else {
            table.replaceAll(targets);
        }
        complete = true;
        publish();
    }

    @Override
    public void changed(List<StoreObject> objects, long _revision) {
        table.beginUpdate();
        objects.forEach(this::apply);
        publish();
    }

    private void apply(StoreObject object) {
        Optional<TargetRecord> target = object.deleted() ? Optional.empty() : decode(object);
        if (target.isEmpty()) {
            if (view.directory().find(object.name()).isPresent()) {
                log().important(GatewayEvent.TARGET_REMOVED)
                        .addKeyValue("target", object.name())
                        .addKeyValue("revision", object.revision())
                        .log();
            }
            table.remove(object.name());
            return;
        }
        table.put(target.get());
        logChange(target.get(), object.revision());
    }

    private void logChange(TargetRecord target, long revision) {
        Optional<TargetRecord> known = view.directory().find(target.id());
        boolean added = known.isEmpty() || !known.get().sameIncarnation(target);
        if (added || known.get().draining() != target.draining()) {
            log().important(added ? GatewayEvent.TARGET_ADDED : GatewayEvent.TARGET_CHANGED)
                    .addKeyValue("target", target.id())
                    .addKeyValue("pool", target.pool())
                    .addKeyValue("version", target.softwareVersion())
                    .addKeyValue("leaving", target.draining())
                    .addKeyValue("coldMillis", target.coldRemainingMillis())
                    .addKeyValue("revision", revision)
                    .log();
        }
    }

    private Optional<TargetRecord> decode(StoreObject object) {
        Optional<TargetRecord> target = dialect.decodeTarget(object);
        if (target.isEmpty()) {
            log().important(GatewayEvent.DIRECTORY_ENTRY_IGNORED)
                    .addKeyValue("entry", object.name())
                    .addKeyValue("revision", object.revision())
                    .log();
        }
        return target;
    }
}
