package io.masticfold.platform.store;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticfold.core.attempt.AttemptId;
import io.masticfold.core.attempt.Incarnation;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.claim.Claim;
import io.masticfold.platform.json.FieldReader;
import io.masticfold.platform.json.JsonDocument;
import io.masticfold.platform.json.JsonProblemException;
import io.masticfold.platform.json.JsonSupport;
import java.util.Base64;
import java.util.Optional;

/** Converts claims to and from JSON. The result is arbitrary binary data and therefore encoded in Base64. */
final class ClaimCodec {

    private ClaimCodec() {}

    static String encode(Claim claim) {
        ObjectNode node = JsonSupport.object()
                .put("attempt", claim.attempt().toString())
                .put("target", claim.target())
                .put("agent", claim.agent().toString())
                .put("fingerprint", claim.fingerprint())
                .put("createdMillis", claim.createdMillis());
        Payload result = claim.result();
        if (result != null) {
            node.put("result", Base64.getEncoder().encodeToString(result.unsafeBytes()));
        }
        return JsonSupport.write(node);
    }

    static Claim decode(String name, String json) throws JsonProblemException {
        JsonDocument document = JsonDocument.parse(ObjectClaimStore.KIND + '/' + name, json);
        FieldReader fields = document.reader();
        String attempt = fields.text("attempt");
        String target = fields.text("target");
        String agent = fields.text("agent");
        String fingerprint = fields.text("fingerprint");
        long createdMillis = fields.wholeNumber("createdMillis", 0, Long.MAX_VALUE);
        String result = fields.has("result") ? fields.text("result") : null;
        Optional<Claim> claim = fields.build(() -> new Claim(
                AttemptId.parse(attempt),
                target,
                Incarnation.parse(agent),
                fingerprint,
                createdMillis,
                result == null ? null : Payload.wrap(Base64.getDecoder().decode(result))));
        document.check();
        return claim.orElseThrow();
    }
}
