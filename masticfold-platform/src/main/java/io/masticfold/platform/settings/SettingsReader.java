package io.masticfold.platform.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticfold.platform.json.FieldReader;
import io.masticfold.platform.json.JsonDocument;
import io.masticfold.platform.json.JsonProblemException;
import io.masticfold.platform.json.JsonSupport;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** Reads settings of the programs from JSON. */
public final class SettingsReader {

    private SettingsReader() {}

    /**
     * Reads the settings of an entry.
     *
     * @param source name of the file, for messages
     * @param text the JSON text
     * @throws JsonProblemException with all problems of the text
     */
    public static EntrySettings entry(String source, String text) throws JsonProblemException {
        return read(source, text, SettingsReader::entryFields);
    }

    /**
     * Reads the settings of an agent.
     *
     * @param source name of the file, for messages
     * @param text the JSON text
     * @throws JsonProblemException with all problems of the text
     */
    public static AgentSettings agent(String source, String text) throws JsonProblemException {
        return read(source, text, SettingsReader::agentFields);
    }

    /**
     * Reads the settings of a local deployment.
     *
     * @param source name of the file, for messages
     * @param text the JSON text
     * @throws JsonProblemException with all problems of the text
     */
    public static DeploymentSettings deployment(String source, String text) throws JsonProblemException {
        return read(source, text, SettingsReader::deploymentFields);
    }

    private static <T> T read(String source, String text, Function<FieldReader, Optional<T>> reader)
            throws JsonProblemException {
        JsonDocument document = JsonDocument.parse(source, text);
        Optional<T> settings = reader.apply(document.reader());
        document.check();
        return settings.orElseThrow();
    }

    private static Optional<EntrySettings> entryFields(FieldReader fields) {
        String name = fields.text("name");
        String zone = fields.text("zone");
        String region = fields.text("region");
        InetSocketAddress listen = fields.address("listen");
        InetSocketAddress admin = fields.address("admin");
        InetSocketAddress objectApi = fields.address("objectApi");
        InetSocketAddress vmList = fields.address("vmList");
        String sharedSecret = secret(fields);
        int threads = fields.integer("threads", 1, EntrySettings.MAX_THREADS, EntrySettings.DEFAULT_THREADS);
        int drainDelayMillis = fields.integer(
                "drainDelayMillis", 0, EntrySettings.MAX_DRAIN_DELAY_MILLIS, EntrySettings.DEFAULT_DRAIN_DELAY_MILLIS);
        int maxConnections = fields.integer(
                "maxConnections", 1, EntrySettings.MAX_CONNECTIONS, EntrySettings.DEFAULT_MAX_CONNECTIONS);
        return fields.build(() -> new EntrySettings(
                name,
                zone,
                region,
                listen,
                admin,
                objectApi,
                vmList,
                sharedSecret,
                threads,
                drainDelayMillis,
                maxConnections));
    }

    private static Optional<AgentSettings> agentFields(FieldReader fields) {
        String name = fields.text("name");
        String zone = fields.text("zone");
        String region = fields.text("region");
        String target = fields.text("target");
        InetSocketAddress listen = fields.address("listen");
        InetSocketAddress admin = fields.address("admin");
        InetSocketAddress targetAddress = fields.address("targetAddress");
        String sharedSecret = secret(fields);
        int drainMillis =
                fields.integer("drainMillis", 0, AgentSettings.MAX_DRAIN_MILLIS, AgentSettings.DEFAULT_DRAIN_MILLIS);
        return fields.build(() ->
                new AgentSettings(name, zone, region, target, listen, admin, targetAddress, sharedSecret, drainMillis));
    }

    private static Optional<DeploymentSettings> deploymentFields(FieldReader fields) {
        InetSocketAddress objectApi = fields.address("objectApi");
        InetSocketAddress vmList = fields.address("vmList");
        String sharedSecret = secret(fields);
        List<DeploymentEntry> entries = fields.objects("entries").stream()
                .map(SettingsReader::deploymentEntry)
                .flatMap(Optional::stream)
                .toList();
        Map<String, String> callers = callers(fields);
        Map<String, String> samples = new LinkedHashMap<>();
        fields.values("samples").forEach((pipeline, body) -> samples.put(pipeline, JsonSupport.write(body)));
        return fields.build(() -> new DeploymentSettings(objectApi, vmList, sharedSecret, entries, callers, samples));
    }

    private static Optional<DeploymentEntry> deploymentEntry(FieldReader fields) {
        String name = fields.text("name");
        String zone = fields.text("zone");
        String region = fields.text("region");
        InetSocketAddress listen = fields.address("listen");
        InetSocketAddress admin = fields.address("admin");
        return fields.build(() -> new DeploymentEntry(name, zone, region, listen, admin));
    }

    private static Map<String, String> callers(FieldReader fields) {
        Map<String, String> callers = new LinkedHashMap<>();
        for (Map.Entry<String, JsonNode> caller : fields.values("callers").entrySet()) {
            if (!caller.getValue().isTextual()) {
                fields.report("callers", "accepted: an object of texts, workspace to caller key");
                return Map.of();
            }
            callers.put(caller.getKey(), caller.getValue().textValue());
        }
        return callers;
    }

    private static String secret(FieldReader fields) {
        return fields.secret("sharedSecret", SettingsSupport.MIN_SECRET_CHARS);
    }
}
