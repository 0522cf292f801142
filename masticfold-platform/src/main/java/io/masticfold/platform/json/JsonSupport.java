package io.masticfold.platform.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonStreamContext;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** Reads and writes JSON trees: comments are accepted, duplicate keys and trailing tokens are refused. */
public final class JsonSupport {

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
            .build();

    private JsonSupport() {}

    /**
     * Parses a text.
     *
     * @throws JsonProcessingException if the text is no JSON value, repeats a key or goes on after the value
     */
    public static JsonNode parse(String text) throws JsonProcessingException {
        return MAPPER.readTree(text);
    }

    /** Writes a tree on one line. */
    public static String write(JsonNode node) {
        return node.toString();
    }

    /** Writes a tree over several lines, for people. */
    public static String writePretty(JsonNode node) {
        return node.toPrettyString();
    }

    /** Creates an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Creates an empty list. */
    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /** Finds the line of each key and array element of a text that has been parsed before. */
    static Map<String, Integer> lines(String text) {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = MAPPER.createParser(text)) {
            while (parser.nextToken() != null) {
                JsonStreamContext context = parser.getParsingContext();
                JsonStreamContext position = parser.currentToken().isStructStart() ? context.getParent() : context;
                lines.putIfAbsent(path(position), parser.currentTokenLocation().getLineNr());
            }
        } catch (IOException e) {
            // Positions up to the fault are enough; the fault itself was reported by the first parse.
            lines.putIfAbsent("$", 1);
        }
        return lines;
    }

    private static String path(JsonStreamContext context) {
        if (context == null || context.inRoot()) {
            return "$";
        }
        String parent = path(context.getParent());
        return context.inArray()
                ? parent + '[' + context.getCurrentIndex() + ']'
                : parent + '.' + context.getCurrentName();
    }
}
