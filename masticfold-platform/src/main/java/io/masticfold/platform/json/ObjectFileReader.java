package io.masticfold.platform.json;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticfold.core.model.ObjectKind;
import java.util.ArrayList;
import java.util.List;

/**
 * Reads object files, which contain one envelope {@code {"kind","name","spec"}} or an array of envelopes. If an
 * envelope has a {@code version}, the object may only replace that version. The {@code changeId} of an object that was
 * read from the object API is accepted and ignored.
 */
public final class ObjectFileReader {

    private ObjectFileReader() {}

    /**
     * Reads the objects of a file.
     *
     * @param source name of the file, for messages
     * @param text the JSON text
     * @throws JsonProblemException with all problems of the file
     */
    public static List<SpecEntry> read(String source, String text) throws JsonProblemException {
        JsonDocument document = JsonDocument.parse(source, text);
        List<SpecEntry> entries = new ArrayList<>();
        JsonNode root = document.root();
        if (root.isArray()) {
            for (int i = 0; i < root.size(); i++) {
                envelope(document, root.get(i), "$[" + i + ']', entries);
            }
        } else {
            envelope(document, root, "$", entries);
        }
        document.check();
        return List.copyOf(entries);
    }

    private static void envelope(JsonDocument document, JsonNode node, String path, List<SpecEntry> entries) {
        FieldReader fields = document.reader(node, path);
        ObjectKind kind = fields.choice("kind", ObjectKind.class);
        String name = fields.text("name");
        long version = fields.has("version") ? fields.wholeNumber("version", 0, Long.MAX_VALUE) : 0;
        fields.text("changeId", "");
        boolean known = fields.has("kind")
                && ObjectKind.ofCode(node.path("kind").asText()).isPresent();
        if (fields.object("spec").isEmpty()) {
            fields.report("spec", "missing key; accepted: an object");
        } else if (known && !name.isEmpty()) {
            fields.object("spec")
                    .flatMap(spec -> SpecReader.read(kind, name, spec))
                    .ifPresent(
                            spec -> entries.add(new SpecEntry(document.source(), fields.line(), path, version, spec)));
        }
        fields.finish();
    }
}
