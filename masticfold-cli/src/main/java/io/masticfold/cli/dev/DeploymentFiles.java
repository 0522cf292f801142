package io.masticfold.cli.dev;

import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.platform.json.ConfigValidator;
import io.masticfold.platform.json.JsonProblem;
import io.masticfold.platform.json.JsonProblemException;
import io.masticfold.platform.json.ObjectFileReader;
import io.masticfold.platform.json.SpecEntry;
import io.masticfold.platform.settings.DeploymentSettings;
import io.masticfold.platform.settings.SettingsReader;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Holds a deployment read from a directory: {@code deployment.json} and {@code objects/*.json}.
 *
 * @param settings addresses, secret, entries, callers and samples
 * @param specs the configuration objects
 */
public record DeploymentFiles(DeploymentSettings settings, List<ConfigSpec> specs) {

    private static final String SETTINGS_FILE = "deployment.json";
    private static final String OBJECTS = "objects";

    /** Copies the list. */
    public DeploymentFiles {
        specs = List.copyOf(specs);
    }

    /**
     * Reads and checks a deployment.
     *
     * @param directory the directory
     * @throws CommandException with all faults found
     */
    public static DeploymentFiles read(Path directory) throws CommandException {
        try {
            Path file = directory.resolve(SETTINGS_FILE);
            DeploymentSettings settings = SettingsReader.deployment(file.toString(), Files.readString(file));
            List<SpecEntry> entries = new ArrayList<>();
            for (Path objects : objectFiles(directory)) {
                entries.addAll(ObjectFileReader.read(objects.toString(), Files.readString(objects)));
            }
            check(ConfigValidator.validate(entries));
            return new DeploymentFiles(
                    settings, entries.stream().map(SpecEntry::spec).toList());
        } catch (JsonProblemException e) {
            throw invalid(e.problems());
        } catch (IOException e) {
            throw new CommandException(ExitCode.INVALID, directory + ": cannot be read: " + e.getMessage(), e);
        }
    }

    /** Returns the objects of one kind, in the order of their names. */
    public <T extends ConfigSpec> List<T> all(Class<T> type) {
        return specs.stream()
                .filter(type::isInstance)
                .map(type::cast)
                .sorted(Comparator.comparing(ConfigSpec::name))
                .toList();
    }

    private static List<Path> objectFiles(Path directory) throws IOException {
        try (Stream<Path> files = Files.list(directory.resolve(OBJECTS))) {
            return files.filter(file -> file.toString().endsWith(".json"))
                    .sorted()
                    .toList();
        }
    }

    private static void check(List<JsonProblem> problems) throws CommandException {
        if (!problems.isEmpty()) {
            throw invalid(problems);
        }
    }

    private static CommandException invalid(List<JsonProblem> problems) {
        String text = problems.stream().map(JsonProblem::toString).collect(Collectors.joining("\n"));
        return new CommandException(ExitCode.INVALID, text);
    }
}
