package io.masticfold.cli.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import io.masticfold.platform.json.JsonSupport;
import java.util.ArrayList;
import java.util.List;

/**
 * Holds the status of an entry. Keys that this version does not know are ignored, so that entries of another version
 * can be asked.
 *
 * @param name name of the entry
 * @param zone availability zone
 * @param incarnation incarnation of the process
 * @param configRevision revision of its configuration
 * @param configDigest digest of its configuration
 * @param ready whether it takes new requests
 * @param agents the agents it knows
 * @param contracts its service by contract
 */
public record EntryStatus(
        String name,
        String zone,
        String incarnation,
        long configRevision,
        String configDigest,
        boolean ready,
        List<AgentStatus> agents,
        List<ContractStatus> contracts) {

    /** Copies the lists. */
    public EntryStatus {
        agents = List.copyOf(agents);
        contracts = List.copyOf(contracts);
    }

    /**
     * Parses the body of {@code /status}.
     *
     * @throws JsonProcessingException if it is not JSON
     */
    static EntryStatus parse(String body) throws JsonProcessingException {
        JsonNode root = JsonSupport.parse(body);
        List<AgentStatus> agents = new ArrayList<>();
        root.path("agents").forEach(node -> agents.add(agent(node)));
        List<ContractStatus> contracts = new ArrayList<>();
        root.path("contracts").forEach(node -> contracts.add(contract(node)));
        return new EntryStatus(
                root.path("name").asText(),
                root.path("zone").asText(),
                root.path("incarnation").asText(),
                root.path("configRevision").asLong(),
                root.path("configDigest").asText(),
                root.path("ready").asBoolean(),
                agents,
                contracts);
    }

    private static AgentStatus agent(JsonNode node) {
        return new AgentStatus(
                node.path("target").asText(),
                node.path("zone").asText(),
                node.path("usable").asBoolean(),
                node.path("configRevision").asLong(),
                node.path("configDigest").asText(),
                node.path("temperature").asText(),
                node.path("inFlight").asLong(),
                node.path("limit").asLong());
    }

    private static ContractStatus contract(JsonNode node) {
        return new ContractStatus(
                node.path("name").asText(),
                node.path("answered").asLong(),
                node.path("inWindow").asLong());
    }
}
