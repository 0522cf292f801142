package io.masticfold.testkit.targets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.ChannelSupplier;
import io.activej.csp.supplier.ChannelSuppliers;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.masticfold.core.model.TargetKind;
import io.masticfold.testkit.http.JsonSupport;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.Locale;

/**
 * Builds the answer to one run. It carries the request id, a digest of the input and the input itself, so that a test
 * can check that an answer belongs to its request.
 */
final class RunAnswer {

    private final TargetProfile profile;
    private final RunState run;
    private final JsonNode input;
    private final boolean streamed;

    RunAnswer(TargetProfile profile, RunState run, JsonNode input, HttpRequest request) {
        this.profile = profile;
        this.run = run;
        this.input = input;
        String accept = request.getHeader(HttpHeaders.ACCEPT);
        this.streamed = profile.kind() == TargetKind.ENGINE && accept != null && accept.contains("text/event-stream");
    }

    /** Returns the SHA-256 of an input in hexadecimal digits. */
    static String digest(byte[] input) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(input));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    boolean streamed() {
        return streamed;
    }

    RunState run() {
        return run;
    }

    ObjectNode summary() {
        return JsonSupport.object()
                .put("stage", profile.kind().name().toLowerCase(Locale.ROOT))
                .put("target", profile.name())
                .put("requestId", run.execution().requestId())
                .put("attemptId", run.execution().attemptId())
                .put("inputDigest", run.execution().inputDigest())
                .put("tokens", profile.tokens());
    }

    HttpResponse whole() {
        return JsonSupport.ok(json());
    }

    /** Returns an answer whose connection is cut after half of the body. */
    HttpResponse half() {
        byte[] body = json().toString().getBytes(StandardCharsets.UTF_8);
        ByteBuf half = ByteBuf.wrapForReading(Arrays.copyOf(body, body.length / 2));
        ChannelSupplier<ByteBuf> cut = ChannelSuppliers.concat(
                ChannelSuppliers.ofValue(half),
                ChannelSuppliers.ofException(new IOException("connection cut by a fault switch")));
        return HttpResponse.ofCode(200)
                .withHeader(HttpHeaders.CONTENT_TYPE, "application/json")
                .withBodyStream(cut)
                .build();
    }

    /** Returns the text of a token: the first two are the request id and the digest of the input. */
    String token(int index) {
        return switch (index) {
            case 0 -> run.execution().requestId();
            case 1 -> run.execution().inputDigest();
            default -> "t" + index;
        };
    }

    private JsonNode json() {
        return summary().set("input", input);
    }
}
