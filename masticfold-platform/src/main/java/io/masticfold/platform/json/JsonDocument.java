package io.masticfold.platform.json;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;

/** A parsed JSON document that collects problems with their positions. Not thread-safe. */
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
     * Parses a JSON text.
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

    /** Returns the root value. */
    public JsonNode root() {
        return root;
    }

    /** Returns the name of the file or of the origin of the text. */
    public String source() {
        return source;
    }

    /** Returns a reader for the root value; records a problem if the value is not an object. */
    public FieldReader reader() {
        return reader(root, "$");
    }

    /** Returns a reader for a nested object; records a problem if the value is not an object. */
    public FieldReader reader(JsonNode node, String path) {
        if (node instanceof ObjectNode object) {
            return new FieldReader(this, object, path);
        }
        report(path, node, "accepted: an object");
        return new FieldReader(this, JsonSupport.object(), path, false);
    }

    /** Records a problem. */
    public void report(String path, @Nullable JsonNode value, String message) {
        String found = value == null || value.isMissingNode() ? null : JsonSupport.write(value);
        problems.add(new JsonProblem(source, line(path), path, found, message));
    }

    /** Returns the problems recorded so far. */
    public List<JsonProblem> problems() {
        return List.copyOf(problems);
    }

    /** Returns the number of problems recorded so far. */
    int problemCount() {
        return problems.size();
    }

    /**
     * Throws an exception if any problem was recorded.
     *
     * @throws JsonProblemException with all problems
     */
    public void check() throws JsonProblemException {
        if (!problems.isEmpty()) {
            throw new JsonProblemException(problems);
        }
    }

    /** Returns the line number of a path, or of the closest enclosing value in the text. */
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
