package io.masticfold.cli.config;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticfold.platform.json.JsonDocument;
import io.masticfold.platform.json.JsonProblem;
import io.masticfold.platform.json.JsonProblemException;
import io.masticfold.platform.json.ObjectFileReader;
import io.masticfold.platform.json.SpecEntry;
import io.masticfold.platform.settings.SettingsReader;
import java.util.List;

/**
 * Holds what a file turned out to be. A list, or an object with a {@code kind}, holds objects; an object with
 * {@code entries} describes a deployment, one with {@code targetAddress} an agent, any other an entry.
 *
 * @param settings whether the file holds settings
 * @param entries the objects of the file
 * @param problems the faults of the file
 */
record CheckedFile(boolean settings, List<SpecEntry> entries, List<JsonProblem> problems) {

    static CheckedFile read(String file, String text) {
        try {
            JsonNode root = JsonDocument.parse(file, text).root();
            if (root.isArray() || root.has("kind") || root.has("spec")) {
                return new CheckedFile(false, ObjectFileReader.read(file, text), List.of());
            }
            readSettings(file, text, root);
            return new CheckedFile(true, List.of(), List.of());
        } catch (JsonProblemException e) {
            return new CheckedFile(false, List.of(), e.problems());
        }
    }

    private static void readSettings(String file, String text, JsonNode root) throws JsonProblemException {
        if (root.has("entries")) {
            SettingsReader.deployment(file, text);
        } else if (root.has("targetAddress") || root.has("target")) {
            SettingsReader.agent(file, text);
        } else {
            SettingsReader.entry(file, text);
        }
    }
}
