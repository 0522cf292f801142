package io.masticfold.cli.process;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;

/**
 * Holds the whole answer to one request.
 *
 * @param requestId id the request was sent with
 * @param body body the request was sent with
 * @param status HTTP status
 * @param retryAfter whether the answer has the header {@code Retry-After}
 * @param json the JSON body of the answer
 */
record Reply(String requestId, String body, int status, boolean retryAfter, JsonNode json) {

    private static final int OK = 200;

    boolean ok() {
        return status == OK;
    }

    /** Returns the error kind, empty for a result. */
    String errorKind() {
        return json.at("/error/kind").asText();
    }

    String ran() {
        return json.at("/error/ran").asText();
    }

    String effects() {
        return json.at("/error/effects").asText();
    }

    /**
     * Returns whether a result belongs to the operation of this request: the innermost input is the body that was
     * sent. A retry is answered with the kept result, which carries the id of the first request.
     */
    boolean belongs() throws IOException {
        JsonNode output = json.get("output");
        JsonNode innermost = output;
        while (innermost.has("input")) {
            innermost = innermost.get("input");
        }
        return innermost.equals(HttpOnce.json(body));
    }
}
