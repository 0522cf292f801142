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

/** Parses and writes JSON trees. Comments are accepted; duplicate keys and trailing tokens are rejected. */
public final class JsonSupport {

    private static final JsonMapper MAPPER = JsonMapper.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .disable(StreamReadFeature.INCLUDE_SOURCE_IN_LOCATION)
            .build();

    private JsonSupport() {}

    /**
     * Parses a JSON text.
     *
     * @throws JsonProcessingException if the text is not valid JSON, has a duplicate key or has trailing tokens
     */
    public static JsonNode parse(String text) throws JsonProcessingException {
        return MAPPER.readTree(text);
    }

    /** Writes a tree in compact form on one line. */
    public static String write(JsonNode node) {
        return node.toString();
    }

    /** Writes a tree in indented form. */
    public static String writePretty(JsonNode node) {
        return node.toPrettyString();
    }

    /** Creates an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Creates an empty array. */
    public static ArrayNode array() {
        return MAPPER.createArrayNode();
    }

    /** Returns the line number of each JSON path of a text that was already parsed. */
    static Map<String, Integer> lines(String text) {
        Map<String, Integer> lines = new HashMap<>();
        try (JsonParser parser = MAPPER.createParser(text)) {
            while (parser.nextToken() != null) {
                JsonStreamContext context = parser.getParsingContext();
                JsonStreamContext position = parser.currentToken().isStructStart() ? context.getParent() : context;
                lines.putIfAbsent(path(position), parser.currentTokenLocation().getLineNr());
            }
        } catch (IOException e) {
            // Positions up to the syntax error are sufficient; the first parse has already reported the error.
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
