package io.masticfold.testkit.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpError;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import java.nio.charset.StandardCharsets;

/** Reads and writes the JSON of the stand-ins. */
public final class JsonSupport {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;

    private JsonSupport() {}

    /** Creates an empty object. */
    public static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    /** Converts a value to a node. */
    public static JsonNode node(Object value) {
        return MAPPER.valueToTree(value);
    }

    /**
     * Parses a body.
     *
     * @throws HttpError with status 400 if the body is no JSON
     */
    public static JsonNode parse(byte[] body) throws HttpError {
        try {
            JsonNode node = MAPPER.readTree(new String(body, StandardCharsets.UTF_8));
            if (node.isMissingNode()) {
                throw HttpError.ofCode(BAD_REQUEST, "the body is empty");
            }
            return node;
        } catch (JsonProcessingException e) {
            throw HttpError.ofCode(BAD_REQUEST, "the body is no JSON: " + e.getOriginalMessage());
        }
    }

    /** Creates an answer with status 200. */
    public static HttpResponse ok(JsonNode body) {
        return answer(OK, body);
    }

    /** Creates an answer. */
    public static HttpResponse answer(int status, JsonNode body) {
        return builder(status, body).build();
    }

    /** Creates a builder of an answer, for further headers. */
    public static HttpResponse.Builder builder(int status, JsonNode body) {
        return HttpResponse.ofCode(status)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(body.toString());
    }
}
