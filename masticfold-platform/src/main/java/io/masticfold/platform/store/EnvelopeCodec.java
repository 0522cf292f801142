package io.masticfold.platform.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticfold.platform.json.JsonSupport;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Converts the JSON envelopes of the object API. Unknown keys are ignored for forward compatibility. */
final class EnvelopeCodec {

    private EnvelopeCodec() {}

    static StoredObject object(String body) throws IOException {
        return object(JsonSupport.parse(body));
    }

    static PageReply.Page page(String body) throws IOException {
        JsonNode root = JsonSupport.parse(body);
        if (!root.path("revision").isIntegralNumber() || !root.path("objects").isArray()) {
            throw new IOException("expected an integer 'revision' and an array 'objects'");
        }
        List<StoredObject> objects = new ArrayList<>();
        for (JsonNode node : root.path("objects")) {
            objects.add(object(node));
        }
        return new PageReply.Page(root.path("revision").longValue(), objects);
    }

    static long version(String body) throws IOException {
        JsonNode version = JsonSupport.parse(body).path("version");
        if (!version.isIntegralNumber()) {
            throw new IOException("expected an integer 'version'");
        }
        return version.longValue();
    }

    /** Encodes the body of an update request. */
    static String update(String changeId, String spec) throws JsonProcessingException {
        ObjectNode body = JsonSupport.object().put("changeId", changeId);
        body.set("spec", JsonSupport.parse(spec));
        return JsonSupport.write(body);
    }

    private static StoredObject object(JsonNode node) throws IOException {
        JsonNode kind = node.path("kind");
        JsonNode name = node.path("name");
        JsonNode version = node.path("version");
        if (!kind.isTextual() || !name.isTextual() || !version.isIntegralNumber()) {
            throw new IOException("expected 'kind', 'name' and an integer 'version'");
        }
        boolean deleted = node.path("deleted").asBoolean(false);
        JsonNode spec = node.path("spec");
        if (!deleted && !spec.isObject()) {
            throw new IOException("expected an object 'spec' in " + kind.textValue() + '/' + name.textValue());
        }
        return new StoredObject(
                kind.textValue(),
                name.textValue(),
                version.longValue(),
                node.path("changeId").asText(""),
                deleted ? null : JsonSupport.write(spec));
    }
}
