package io.masticfold.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MappingIterator;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.pipeline.PipelineResult;
import io.masticfold.core.pipeline.RequestFailure;
import io.masticfold.core.pipeline.StageReport;
import java.io.IOException;
import java.time.Duration;
import java.util.List;

/** Creates the HTTP responses of the entry: result and error bodies, and the data of server-sent events. */
final class ResponseWriter {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final int MICROS_PER_MILLI = 1_000;
    private static final int MILLIS_PER_SECOND = 1_000;

    private ResponseWriter() {}

    static HttpResponse completedResponse(String requestId, String pipeline, PipelineResult result) {
        ObjectNode body = JSON.createObjectNode();
        body.put("requestId", requestId);
        body.put("pipeline", pipeline);
        body.set("output", outputJson(result.output()));
        body.set("stages", stagesJson(result));
        return responseBuilder(200, requestId, body).build();
    }

    static HttpResponse errorResponse(String requestId, RequestFailure failure) {
        HttpResponse.Builder response =
                responseBuilder(failure.kind().httpStatus(), requestId, errorBody(requestId, failure));
        if (failure.retryAfter().compareTo(Duration.ZERO) > 0) {
            response.withHeader(EntryHeaders.RETRY_AFTER, Long.toString(retryAfterSeconds(failure)));
        }
        return response.build();
    }

    static HttpResponse jsonResponse(int status, JsonNode body) {
        return HttpResponse.ofCode(status)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBody(encode(body))
                .build();
    }

    /** Returns the body of an error response, which is also the data of the {@code error} event. */
    static ObjectNode errorBody(String requestId, RequestFailure failure) {
        ObjectNode body = JSON.createObjectNode();
        body.put("requestId", requestId);
        ObjectNode error = body.putObject("error");
        error.put("kind", failure.kind().code());
        error.put("ran", failure.ran().code());
        error.put("effects", failure.effects().code());
        error.put("message", failure.message());
        if (failure.retryAfter().compareTo(Duration.ZERO) > 0) {
            error.put("retryAfterMillis", failure.retryAfter().toMillis());
        }
        return body;
    }

    /** Returns the data of the {@code end} event. */
    static ObjectNode endEventData(String requestId, String pipeline, PipelineResult result) {
        ObjectNode body = JSON.createObjectNode();
        body.put("requestId", requestId);
        body.put("pipeline", pipeline);
        body.put("totalBytes", result.output().size());
        body.set("stages", stagesJson(result));
        return body;
    }

    static byte[] encode(JsonNode node) {
        try {
            return JSON.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }

    private static HttpResponse.Builder responseBuilder(int status, String requestId, JsonNode body) {
        return HttpResponse.ofCode(status)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withHeader(EntryHeaders.REQUEST_ID, requestId)
                .withBody(encode(body));
    }

    private static long retryAfterSeconds(RequestFailure failure) {
        long millis = failure.retryAfter().toMillis();
        return Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    /**
     * Converts the output of a pipeline to JSON. A streaming result is a sequence of JSON values, one per line, and is
     * returned as an array. Output that is not valid JSON is returned as a string.
     */
    private static JsonNode outputJson(Payload output) {
        if (output.size() == 0) {
            return NullNode.getInstance();
        }
        try (MappingIterator<JsonNode> values = JSON.readerFor(JsonNode.class).readValues(output.unsafeBytes())) {
            List<JsonNode> all = values.readAll();
            if (all.size() == 1) {
                return all.get(0);
            }
            ArrayNode array = JSON.createArrayNode();
            return array.addAll(all);
        } catch (IOException e) {
            return TextNode.valueOf(output.utf8());
        }
    }

    private static ArrayNode stagesJson(PipelineResult result) {
        ArrayNode stages = JSON.createArrayNode();
        for (StageReport report : result.stages()) {
            ObjectNode stage = stages.addObject();
            stage.put("name", report.name());
            stage.put("target", report.target());
            stage.put("millis", report.elapsedMicros() / (double) MICROS_PER_MILLI);
            stage.put("attempts", report.attempts());
        }
        return stages;
    }
}
