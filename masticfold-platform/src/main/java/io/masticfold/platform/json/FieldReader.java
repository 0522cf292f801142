package io.masticfold.platform.json;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;

/**
 * Reads the fields of one JSON object. A missing, mistyped or out-of-range field is recorded as a problem of the
 * document, and a placeholder is returned so that the remaining fields are validated too; {@link #build} returns no
 * value once a problem was recorded. Not thread-safe.
 */
public final class FieldReader {

    private static final JsonNode MISSING = MissingNode.getInstance();

    private final JsonDocument document;
    private final ObjectNode node;
    private final String path;
    private final boolean present;
    private final int problemsBefore;
    private final Set<String> knownKeys = new LinkedHashSet<>();

    FieldReader(JsonDocument document, ObjectNode node, String path) {
        this(document, node, path, true);
    }

    FieldReader(JsonDocument document, ObjectNode node, String path, boolean present) {
        this.document = document;
        this.node = node;
        this.path = path;
        this.present = present;
        this.problemsBefore = document.problemCount();
    }

    /** Returns the JSON path of the object. */
    public String path() {
        return path;
    }

    /** Returns the line number of the object. */
    public int line() {
        return document.line(path);
    }

    /** Returns whether the object has a key, and marks the key as known. */
    public boolean has(String key) {
        return !field(key).isMissingNode();
    }

    /** Records a problem with a field. */
    public void report(String key, String message) {
        document.report(path(key), node.path(key), message);
    }

    /** Reads a required string. */
    public String text(String key) {
        return required(key, "a text", value -> value.isTextual() ? value.textValue() : null, "");
    }

    /** Reads an optional string. */
    public String text(String key, String fallback) {
        return has(key) ? text(key) : fallback;
    }

    /** Reads a required secret; its value is never included in a message. */
    public String secret(String key, int minChars) {
        JsonNode value = field(key);
        if (value.isTextual() && value.textValue().length() >= minChars) {
            return value.textValue();
        }
        String problem = value.isMissingNode() ? "missing key" : "value withheld";
        document.report(path(key), null, problem + "; accepted: a text of at least " + minChars + " characters");
        return "";
    }

    /** Reads a required integer within a range. */
    public int integer(String key, int min, int max) {
        return (int) wholeNumber(key, min, max);
    }

    /** Reads an optional integer. */
    public int integer(String key, int min, int max, int fallback) {
        return has(key) ? integer(key, min, max) : fallback;
    }

    /** Reads a required integer within a range. */
    public long wholeNumber(String key, long min, long max) {
        String range = max == Long.MAX_VALUE ? "at least " + min : min + " to " + max;
        return required(
                key,
                "a whole number, " + range,
                value -> value.isIntegralNumber()
                                && value.canConvertToLong()
                                && value.longValue() >= min
                                && value.longValue() <= max
                        ? value.longValue()
                        : null,
                min);
    }

    /** Reads a required positive number. */
    public double positive(String key) {
        return required(
                key,
                "a number above 0",
                value -> value.isNumber() && value.doubleValue() > 0 && Double.isFinite(value.doubleValue())
                        ? value.doubleValue()
                        : null,
                1.0);
    }

    /** Reads a required boolean. */
    public boolean requiredFlag(String key) {
        return required(key, "true or false", value -> value.isBoolean() ? value.booleanValue() : null, false);
    }

    /** Reads an optional boolean. */
    public boolean flag(String key, boolean fallback) {
        return has(key) ? requiredFlag(key) : fallback;
    }

    /** Reads a required enum constant, which is written in lower case. */
    public <E extends Enum<E>> E choice(String key, Class<E> type) {
        E[] constants = type.getEnumConstants();
        String codes = Arrays.stream(constants).map(FieldReader::code).collect(Collectors.joining(", "));
        return required(
                key,
                "one of " + codes,
                value -> Arrays.stream(constants)
                        .filter(constant -> value.isTextual() && code(constant).equals(value.textValue()))
                        .findFirst()
                        .orElse(null),
                constants[0]);
    }

    /** Reads an optional enum constant. */
    public <E extends Enum<E>> E choice(String key, Class<E> type, E fallback) {
        return has(key) ? choice(key, type) : fallback;
    }

    /** Reads a required address, made of a numeric IP address and a port from 1 to 65535. */
    public InetSocketAddress address(String key) {
        return required(
                key,
                AddressSupport.ACCEPTED,
                value -> value.isTextual()
                        ? AddressSupport.parse(value.textValue()).orElse(null)
                        : null,
                AddressSupport.PLACEHOLDER);
    }

    /** Reads a required array of strings. */
    public List<String> texts(String key) {
        return elements(key).stream()
                .map(element -> element.value().isTextual() ? element.value().textValue() : reportText(element))
                .toList();
    }

    /** Reads a required array of objects. */
    public List<FieldReader> objects(String key) {
        return elements(key).stream()
                .map(element -> document.reader(element.value(), element.path()))
                .toList();
    }

    /** Reads an optional object. */
    public Optional<FieldReader> object(String key) {
        return has(key) ? Optional.of(document.reader(node.get(key), path(key))) : Optional.empty();
    }

    /** Reads an optional object with arbitrary keys as a map of JSON values. */
    public Map<String, JsonNode> values(String key) {
        Map<String, JsonNode> values = new LinkedHashMap<>();
        if (has(key)) {
            JsonNode map = required(key, "an object", value -> value.isObject() ? value : null, JsonSupport.object());
            map.properties().forEach(entry -> values.put(entry.getKey(), entry.getValue()));
        }
        return values;
    }

    /** Records a problem for every unknown key, that is, every key that was not read. */
    public void finish() {
        if (!present) {
            return;
        }
        node.fieldNames().forEachRemaining(key -> {
            if (!knownKeys.contains(key)) {
                document.report(path(key), null, unknownKeyMessage(key));
            }
        });
    }

    /**
     * Finishes reading and builds a value from the fields.
     *
     * @param constructor creates the value; an {@link IllegalArgumentException} is recorded as a problem
     * @return the value, or empty if a problem was recorded since this reader was created
     */
    public <T> Optional<T> build(Supplier<T> constructor) {
        finish();
        return buildLenient(constructor);
    }

    /** Builds a value like {@link #build}, but ignores unknown keys, which responses of the platform may contain. */
    public <T> Optional<T> buildLenient(Supplier<T> constructor) {
        if (!present || document.problemCount() > problemsBefore) {
            return Optional.empty();
        }
        try {
            return Optional.of(constructor.get());
        } catch (IllegalArgumentException e) {
            reportRejectedValue(String.valueOf(e.getMessage()));
            return Optional.empty();
        }
    }

    private void reportRejectedValue(String message) {
        // Messages of the records start with the field name, which locates the problem at its key.
        String field = message.split("[ =]", 2)[0];
        document.report(node.has(field) ? path(field) : path, node.has(field) ? node.get(field) : null, message);
    }

    private String unknownKeyMessage(String key) {
        String known = "unknown key; accepted: " + String.join(", ", knownKeys);
        return KeySuggestion.suggest(key, knownKeys)
                .map(suggestion -> "unknown key, use " + suggestion + "; accepted: " + String.join(", ", knownKeys))
                .orElse(known);
    }

    private String reportText(Element element) {
        document.report(element.path(), element.value(), "accepted: a text");
        return "";
    }

    private List<Element> elements(String key) {
        JsonNode list = required(key, "a list", value -> value.isArray() ? value : null, MISSING);
        List<Element> elements = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            elements.add(new Element(list.get(i), path(key) + '[' + i + ']'));
        }
        return elements;
    }

    private <T> T required(String key, String what, Function<JsonNode, @Nullable T> convert, T placeholder) {
        JsonNode value = field(key);
        if (value.isMissingNode()) {
            if (present) {
                document.report(path(key), null, "missing key; accepted: " + what);
            }
            return placeholder;
        }
        T converted = convert.apply(value);
        if (converted == null) {
            document.report(path(key), value, "accepted: " + what);
            return placeholder;
        }
        return converted;
    }

    private JsonNode field(String key) {
        knownKeys.add(key);
        return node.path(key);
    }

    private String path(String key) {
        return path + '.' + key;
    }

    private static String code(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT);
    }

    private record Element(JsonNode value, String path) {}
}
