package io.masticfold.platform.json;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** Holds a parsed JSON text and collects its faults with their positions. Not safe for use by several threads. */
public final class JsonDocument {

    private final String source;
    private final String text;
    private final JsonNode root;
    private final List<JsonProblem> problems = new ArrayList<>();
    private @Nullable Map<String, Integer> lines;

    private JsonDocument(String source, String text, JsonNode root) {
        this.source = source;
        this.text = text;
        this.root = root;
    }

    /**
     * Parses a text.
     *
     * @param source name of the file or of the origin of the text, for messages
     * @param text the JSON text
     * @throws JsonProblemException if the text is not JSON
     */
    public static JsonDocument parse(String source, String text) throws JsonProblemException {
        try {
            return new JsonDocument(source, text, JsonSupport.parse(text));
        } catch (JsonProcessingException e) {
            JsonLocation location = e.getLocation();
            int line = location == null ? 1 : location.getLineNr();
            String message = "not valid JSON: " + e.getOriginalMessage();
            throw new JsonProblemException(List.of(new JsonProblem(source, line, "$", null, message)));
        }
    }

    /** Returns the top value. */
    public JsonNode root() {
        return root;
    }

    /** Returns the name of the file or of the origin of the text. */
    public String source() {
        return source;
    }

    /** Returns a reader of the top value; a fault is recorded if the value is not an object. */
    public FieldReader reader() {
        return reader(root, "$");
    }

    /** Returns a reader of an object inside the document; a fault is recorded if the value is not an object. */
    public FieldReader reader(JsonNode node, String path) {
        if (node instanceof ObjectNode object) {
            return new FieldReader(this, object, path);
        }
        report(path, node, "accepted: an object");
        return new FieldReader(this, JsonSupport.object(), path, false);
    }

    /** Records a fault. */
    public void report(String path, @Nullable JsonNode value, String message) {
        String found = value == null || value.isMissingNode() ? null : JsonSupport.write(value);
        problems.add(new JsonProblem(source, line(path), path, found, message));
    }

    /** Returns the faults found so far. */
    public List<JsonProblem> problems() {
        return List.copyOf(problems);
    }

    /** Returns the number of faults found so far. */
    int problemCount() {
        return problems.size();
    }

    /**
     * Fails if any fault was found.
     *
     * @throws JsonProblemException with all faults
     */
    public void check() throws JsonProblemException {
        if (!problems.isEmpty()) {
            throw new JsonProblemException(problems);
        }
    }

    /** Returns the line of a path, or of the closest enclosing value that is in the text. */
    public int line(String path) {
        if (lines == null) {
            lines = JsonSupport.lines(text);
        }
        String enclosing = path;
        while (!lines.containsKey(enclosing) && enclosing.length() > 1) {
            int end = Math.max(enclosing.lastIndexOf('.'), enclosing.lastIndexOf('['));
            enclosing = enclosing.substring(0, Math.max(1, end));
        }
        return lines.getOrDefault(enclosing, 1);
    }
}
