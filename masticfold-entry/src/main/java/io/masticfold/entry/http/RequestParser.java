package io.masticfold.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.TimeSource;
import java.io.IOException;
import java.time.Duration;
import java.util.UUID;
import java.util.function.Supplier;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;

/** Authenticates and validates a caller's request. Invalid requests are rejected before any target is called. */
final class RequestParser {

    private static final String BEARER_PREFIX = "Bearer ";
    private static final String EVENT_STREAM_TYPE = "text/event-stream";
    private static final int MAX_KEY_CHARS = 255;
    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");
    private static final ObjectReader JSON =
            new ObjectMapper().reader().with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final Supplier<ConfigSnapshot> config;
    private final TimeSource time;

    RequestParser(Supplier<ConfigSnapshot> config, TimeSource time) {
        this.config = config;
        this.time = time;
    }

    /** Returns the request id sent by the caller, or a new one if it is missing or not safe to log. */
    static String requestId(HttpRequest request) {
        String given = request.getHeader(EntryHeaders.REQUEST_ID);
        return given != null && REQUEST_ID.matcher(given).matches()
                ? given
                : UUID.randomUUID().toString();
    }

    /**
     * Validates everything except the body.
     *
     * @throws MasticfoldException with the error kind of the first check that fails
     */
    RequestHead parseHead(HttpRequest request, String requestId) throws MasticfoldException {
        ConfigSnapshot snapshot = config.get();
        if (snapshot.revision() == 0) {
            throw new MasticfoldException(
                    ErrorKind.NO_CONFIGURATION, "this entry has not received a configuration yet");
        }
        Contract contract = contract(request, snapshot);
        Pipeline pipeline = pipeline(request, snapshot, contract);
        String key = idempotencyKey(request, pipeline);
        Deadline deadline = deadline(request, contract);
        String accept = request.getHeader(HttpHeaders.ACCEPT);
        boolean stream = accept != null && accept.contains(EVENT_STREAM_TYPE);
        return new RequestHead(requestId, contract, pipeline, key, stream, deadline);
    }

    private static Contract contract(HttpRequest request, ConfigSnapshot snapshot) throws MasticfoldException {
        String authorization = request.getHeader(HttpHeaders.AUTHORIZATION);
        if (authorization == null || !authorization.startsWith(BEARER_PREFIX)) {
            throw new MasticfoldException(
                    ErrorKind.UNAUTHENTICATED, "the request needs a header 'Authorization: Bearer <key>'");
        }
        String key =
                Payload.ofUtf8(authorization.substring(BEARER_PREFIX.length())).sha256();
        Contract contract = snapshot.contractByKey(key)
                .orElseThrow(() -> new MasticfoldException(
                        ErrorKind.UNAUTHENTICATED, "no contract has the key of the Authorization header"));
        String workspace = request.getHeader(EntryHeaders.WORKSPACE);
        if (workspace != null && !workspace.equals(contract.workspace())) {
            throw new MasticfoldException(
                    ErrorKind.UNKNOWN_WORKSPACE, "the key is not for the workspace of the X-Workspace header");
        }
        return contract;
    }

    private static Pipeline pipeline(HttpRequest request, ConfigSnapshot snapshot, Contract contract)
            throws MasticfoldException {
        String name = request.getPathParameter("pipeline");
        if (!contract.pipelines().contains(name)) {
            throw new MasticfoldException(
                    ErrorKind.UNKNOWN_PIPELINE,
                    "the contract of workspace '" + contract.workspace() + "' has no pipeline '" + name + "'");
        }
        return snapshot.pipeline(name)
                .orElseThrow(() -> new MasticfoldException(
                        ErrorKind.UNKNOWN_PIPELINE, "no pipeline '" + name + "' is configured"));
    }

    private static @Nullable String idempotencyKey(HttpRequest request, Pipeline pipeline) throws MasticfoldException {
        String key = request.getHeader(EntryHeaders.IDEMPOTENCY_KEY);
        if (key != null && (key.isEmpty() || key.length() > MAX_KEY_CHARS)) {
            throw new MasticfoldException(
                    ErrorKind.MALFORMED_REQUEST, "Idempotency-Key must have 1 to 255 characters: " + key.length());
        }
        if (key == null && !pipeline.idempotent()) {
            throw new MasticfoldException(
                    ErrorKind.IDEMPOTENCY_KEY_MISSING,
                    "pipeline '" + pipeline.name()
                            + "' has a non-idempotent stage and needs an Idempotency-Key header");
        }
        return key;
    }

    private Deadline deadline(HttpRequest request, Contract contract) throws MasticfoldException {
        Deadline window = Deadline.after(time, Duration.ofMillis(contract.windowMillis()));
        String given = request.getHeader(EntryHeaders.DEADLINE_MS);
        if (given == null) {
            return window;
        }
        long millis;
        try {
            millis = Long.parseLong(given);
        } catch (NumberFormatException e) {
            throw new MasticfoldException(
                    ErrorKind.MALFORMED_REQUEST,
                    "Deadline-Ms must be a whole number of milliseconds: '" + given + "'",
                    e);
        }
        if (millis <= 0) {
            throw new MasticfoldException(ErrorKind.DEADLINE_EXPIRED, "Deadline-Ms has passed: " + millis);
        }
        return millis >= contract.windowMillis() ? window : Deadline.after(time, Duration.ofMillis(millis));
    }

    /**
     * Validates that the body is a single JSON object.
     *
     * @throws MasticfoldException with kind {@code MALFORMED_REQUEST} if it is not
     */
    static Payload parseBody(byte[] bytes) throws MasticfoldException {
        try {
            JsonNode node = JSON.readTree(bytes);
            if (node == null || !node.isObject()) {
                throw new MasticfoldException(ErrorKind.MALFORMED_REQUEST, "the body must be a JSON object");
            }
        } catch (JsonProcessingException e) {
            throw new MasticfoldException(
                    ErrorKind.MALFORMED_REQUEST, "the body is not valid JSON: " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new MasticfoldException(ErrorKind.MALFORMED_REQUEST, "the body cannot be read", e);
        }
        return Payload.wrap(bytes);
    }
}
