package io.masticfold.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.config.ConfigReplica;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.link.AgentLink;
import io.masticfold.core.model.Target;
import io.masticfold.entry.http.Attainment;
import io.masticfold.entry.http.EntryLifecycle;
import io.masticfold.platform.settings.EntrySettings;
import io.masticfold.wire.LinkStatus;
import io.masticfold.wire.WireClient;
import java.util.Locale;

/** Status document of an entry: its own state, its links to agents and the attainment by contract. */
final class EntryStatus {

    private static final ObjectMapper JSON = new ObjectMapper();

    private final EntrySettings settings;
    private final Incarnation incarnation;
    private final ConfigReplica config;
    private final WireClient links;
    private final EntryLifecycle lifecycle;
    private final Attainment attainment;

    EntryStatus(
            EntrySettings settings,
            Incarnation incarnation,
            ConfigReplica config,
            WireClient links,
            EntryLifecycle lifecycle,
            Attainment attainment) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.config = config;
        this.links = links;
        this.lifecycle = lifecycle;
        this.attainment = attainment;
    }

    JsonNode render() {
        ConfigSnapshot snapshot = config.snapshot();
        ObjectNode status = JSON.createObjectNode();
        status.put("name", settings.name());
        status.put("role", "entry");
        status.put("zone", settings.zone());
        status.put("incarnation", incarnation.toString());
        status.put("configRevision", snapshot.revision());
        status.put("configDigest", Long.toHexString(snapshot.digest()));
        status.put("ready", lifecycle.phase().ready() && snapshot.revision() > 0);
        status.put("inProgress", lifecycle.inProgress());
        ArrayNode agents = status.putArray("agents");
        links.status().forEach(link -> addAgent(agents.addObject(), link, snapshot));
        ArrayNode contracts = status.putArray("contracts");
        attainment.reports().forEach(report -> addContract(contracts.addObject(), report));
        return status;
    }

    private void addAgent(ObjectNode agent, LinkStatus link, ConfigSnapshot snapshot) {
        agent.put("target", link.target());
        agent.put("zone", snapshot.target(link.target()).map(Target::zone).orElse(""));
        agent.put("usable", link.usable());
        agent.put("leaving", link.leaving());
        agent.put("incarnation", String.valueOf(link.incarnation()));
        agent.put("configRevision", link.peerRevision());
        agent.put("configDigest", Long.toHexString(link.peerDigest()));
        AgentLink agentLink = links.link(link.target());
        if (agentLink != null) {
            TargetLoad load = agentLink.load();
            agent.put("temperature", load.temperature().name().toLowerCase(Locale.ROOT));
            agent.put("inFlight", load.inFlight());
            agent.put("limit", load.limit());
        }
    }

    private static void addContract(ObjectNode contract, Attainment.Report report) {
        contract.put("name", report.contract());
        contract.put("answered", report.answered());
        contract.put("inWindow", report.inWindow());
        contract.put("attainment", report.attainment());
    }
}
