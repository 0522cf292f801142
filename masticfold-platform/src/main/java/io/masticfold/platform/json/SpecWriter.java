package io.masticfold.platform.json;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.DesiredModel;
import io.masticfold.core.model.Model;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Stage;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.Zone;
import java.util.Locale;

/** Writes specifications of all object kinds as JSON. The key order is fixed, so equal values give equal texts. */
final class SpecWriter {

    private SpecWriter() {}

    /** Writes a specification as a JSON object. */
    static ObjectNode write(ConfigSpec spec) {
        if (spec instanceof Contract contract) {
            return contract(contract);
        } else if (spec instanceof Pipeline pipeline) {
            return pipeline(pipeline);
        } else if (spec instanceof Zone zone) {
            return JsonSupport.object().put("region", zone.region()).put("state", code(zone.state()));
        } else if (spec instanceof Target target) {
            return target(target);
        } else if (spec instanceof Model model) {
            return JsonSupport.object().put("version", model.version()).put("weightBytes", model.weightBytes());
        }
        throw new IllegalArgumentException("unknown specification: " + spec);
    }

    private static ObjectNode contract(Contract contract) {
        ObjectNode node = JsonSupport.object()
                .put("workspace", contract.workspace())
                .put("keySha256", contract.keySha256())
                .put("windowMillis", contract.windowMillis())
                .put("worth", contract.worth())
                .put("priority", contract.priority())
                .put("requestsPerSecond", contract.requestsPerSecond())
                .put("burst", contract.burst())
                .put("maxInFlight", contract.maxInFlight());
        ArrayNode pipelines = node.putArray("pipelines");
        contract.pipelines().forEach(pipelines::add);
        return node;
    }

    private static ObjectNode pipeline(Pipeline pipeline) {
        ObjectNode node = JsonSupport.object();
        ArrayNode stages = node.putArray("stages");
        pipeline.stages().forEach(stage -> stages.add(stage(stage)));
        return node.put("maxBodyBytes", pipeline.maxBodyBytes());
    }

    private static ObjectNode stage(Stage stage) {
        return JsonSupport.object()
                .put("name", stage.name())
                .put("pool", stage.pool())
                .put("idempotent", stage.idempotent())
                .put("minimumMillis", stage.minimumMillis())
                .put("cost", stage.cost())
                .put("streaming", stage.streaming());
    }

    private static ObjectNode target(Target target) {
        ObjectNode node = JsonSupport.object()
                .put("zone", target.zone())
                .put("pool", target.pool())
                .put("kind", code(target.type()))
                .put("agent", target.agent())
                .put("address", target.address())
                .put("state", code(target.state()))
                .put("maxConcurrency", target.maxConcurrency())
                .put("coldConcurrency", target.coldConcurrency())
                .put("queueLimit", target.queueLimit())
                .put("checksFencing", target.checksFencing())
                .put("checksCaller", target.checksCaller());
        DesiredModel desired = target.desired();
        if (desired != null) {
            node.set("desired", desired(desired));
        }
        return node;
    }

    private static ObjectNode desired(DesiredModel desired) {
        return JsonSupport.object()
                .put("model", desired.model())
                .put("adapter", desired.adapter())
                .put("version", desired.version())
                .put("role", desired.role());
    }

    private static String code(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }
}
