package io.masticfold.platform.json;

import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.DesiredModel;
import io.masticfold.core.model.Model;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Stage;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import java.util.List;
import java.util.Optional;

/** Reads specifications of all object kinds from JSON. */
final class SpecReader {

    private static final int DEFAULT_QUEUE_LIMIT = 64;
    private static final String DEFAULT_ROLE = "both";

    private SpecReader() {}

    /** Reads a specification; returns empty if a problem was recorded. */
    static Optional<? extends ConfigSpec> read(ObjectKind kind, String name, FieldReader fields) {
        return switch (kind) {
            case CONTRACT -> contract(name, fields);
            case PIPELINE -> pipeline(name, fields);
            case ZONE -> zone(name, fields);
            case TARGET -> target(name, fields);
            case MODEL -> model(name, fields);
        };
    }

    private static Optional<Contract> contract(String name, FieldReader fields) {
        String workspace = fields.text("workspace");
        String keySha256 = fields.text("keySha256");
        int windowMillis = fields.integer("windowMillis", 1, Contract.MAX_WINDOW_MILLIS);
        double worth = fields.positive("worth");
        int priority = fields.integer("priority", 0, Contract.MAX_PRIORITY);
        double requestsPerSecond = fields.positive("requestsPerSecond");
        int burst = fields.integer("burst", 1, Integer.MAX_VALUE);
        int maxInFlight = fields.integer("maxInFlight", 1, Integer.MAX_VALUE);
        List<String> pipelines = fields.texts("pipelines");
        return fields.build(() -> new Contract(
                name,
                workspace,
                keySha256,
                windowMillis,
                worth,
                priority,
                requestsPerSecond,
                burst,
                maxInFlight,
                pipelines));
    }

    private static Optional<Pipeline> pipeline(String name, FieldReader fields) {
        List<Stage> stages = fields.objects("stages").stream()
                .map(SpecReader::stage)
                .flatMap(Optional::stream)
                .toList();
        int maxBodyBytes = fields.integer("maxBodyBytes", 1, Pipeline.MAX_BODY_BYTES, Pipeline.MAX_BODY_BYTES);
        return fields.build(() -> new Pipeline(name, stages, maxBodyBytes));
    }

    private static Optional<Stage> stage(FieldReader fields) {
        String name = fields.text("name");
        String pool = fields.text("pool");
        boolean idempotent = fields.requiredFlag("idempotent");
        int minimumMillis = fields.integer("minimumMillis", 0, Contract.MAX_WINDOW_MILLIS, 0);
        double cost = fields.positive("cost");
        boolean streaming = fields.flag("streaming", false);
        return fields.build(() -> new Stage(name, pool, idempotent, minimumMillis, cost, streaming));
    }

    private static Optional<Zone> zone(String name, FieldReader fields) {
        String region = fields.text("region");
        ZoneState state = fields.choice("state", ZoneState.class, ZoneState.IN);
        return fields.build(() -> new Zone(name, region, state));
    }

    private static Optional<Target> target(String name, FieldReader fields) {
        String zone = fields.text("zone");
        String pool = fields.text("pool");
        TargetKind kind = fields.choice("kind", TargetKind.class);
        String agent = AddressSupport.write(fields.address("agent"));
        String address = AddressSupport.write(fields.address("address"));
        TargetState state = fields.choice("state", TargetState.class, TargetState.SERVING);
        int maxConcurrency = fields.integer("maxConcurrency", 1, Target.MAX_CONCURRENCY);
        int coldConcurrency = fields.integer("coldConcurrency", 1, maxConcurrency);
        int queueLimit = fields.integer("queueLimit", 0, Target.MAX_CONCURRENCY, DEFAULT_QUEUE_LIMIT);
        boolean checksFencing = fields.flag("checksFencing", false);
        boolean checksCaller = fields.flag("checksCaller", false);
        Optional<DesiredModel> desired = fields.object("desired").flatMap(SpecReader::desired);
        return fields.build(() -> new Target(
                name,
                zone,
                pool,
                kind,
                agent,
                address,
                state,
                maxConcurrency,
                coldConcurrency,
                queueLimit,
                checksFencing,
                checksCaller,
                desired.orElse(null)));
    }

    private static Optional<DesiredModel> desired(FieldReader fields) {
        String model = fields.text("model");
        String adapter = fields.text("adapter", "");
        String version = fields.text("version");
        String role = fields.text("role", DEFAULT_ROLE);
        return fields.build(() -> new DesiredModel(model, adapter, version, role));
    }

    private static Optional<Model> model(String name, FieldReader fields) {
        String version = fields.text("version");
        long weightBytes = fields.wholeNumber("weightBytes", 1, Long.MAX_VALUE);
        return fields.build(() -> new Model(name, version, weightBytes));
    }
}
