package io.masticfold.cli.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * Holds one line of a decision log.
 *
 * @param timestampMillis wall-clock time, in milliseconds since 1970
 * @param file log that it stands in
 * @param message what happened
 * @param values what was decided and from what, by name
 */
record DecisionLine(long timestampMillis, String file, String message, Map<String, String> values) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /** Reads a line; empty if it is not part of a decision log. Text before the first brace is skipped. */
    static Optional<DecisionLine> parse(String file, String text) {
        int start = text.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode node = JSON.readTree(text.substring(start));
            Map<String, String> values = new LinkedHashMap<>();
            node.path("kvpList").forEach(pair -> pair.properties()
                    .forEach(
                            entry -> values.put(entry.getKey(), entry.getValue().asText())));
            return values.isEmpty()
                    ? Optional.empty()
                    : Optional.of(new DecisionLine(
                            node.path("timestamp").asLong(),
                            file,
                            node.path("message").asText(),
                            values));
        } catch (JsonProcessingException e) {
            // Processes may also write lines of their runtime; those are no decisions.
            return Optional.empty();
        }
    }

    boolean concerns(String request) {
        return request.equals(values.get("request"));
    }

    /** Returns whether the line tells what a process believed when it decided about requests. */
    boolean changesBelief() {
        return !values.containsKey("request") && !values.containsKey("pieces");
    }

    String text() {
        return values.entrySet().stream()
                .filter(entry -> !entry.getKey().equals("request"))
                .map(entry -> entry.getKey() + '=' + entry.getValue())
                .collect(Collectors.joining(" ", message + ": ", ""));
    }
}
