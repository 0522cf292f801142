package io.masticfold.testkit;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.model.Zone;
import io.masticfold.platform.json.ConfigValidator;
import io.masticfold.platform.json.JsonProblemException;
import io.masticfold.platform.json.ObjectFileReader;
import io.masticfold.platform.json.SpecEntry;
import io.masticfold.platform.settings.DeploymentEntry;
import io.masticfold.platform.settings.DeploymentSettings;
import io.masticfold.platform.settings.SettingsReader;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ExamplesTests {

    private static final Path EXAMPLES = Path.of("..", "examples");

    /** Guards against examples whose objects the checker refuses or that are smaller than today's sizes. */
    @ParameterizedTest
    @CsvSource({"vatulele", "perlada"})
    void objectsAreValidAndOfTodaysSize(String name) throws Exception {
        List<SpecEntry> entries = objects(name);
        assertThat(ConfigValidator.validate(entries)).isEmpty();
        assertThat(specs(entries, Zone.class)).hasSize(4);
        assertThat(specs(entries, Contract.class)).hasSize(5);
        assertThat(specs(entries, Target.class).stream().filter(target -> target.type() == TargetKind.ENGINE))
                .hasSize(8);
        assertThat(specs(entries, Target.class).stream()
                        .filter(target -> target.type() == TargetKind.SERVICE)
                        .collect(Collectors.groupingBy(Target::pool, Collectors.counting()))
                        .values())
                .containsExactly(4L, 4L, 4L, 4L);
        assertThat(specs(entries, Pipeline.class))
                .allSatisfy(pipeline -> assertThat(pipeline.stages()).hasSizeBetween(3, 6));
    }

    /** Guards against callers, samples and contracts that do not belong together. */
    @ParameterizedTest
    @CsvSource({"vatulele", "perlada"})
    void callersAndSamplesMatchTheObjects(String name) throws Exception {
        DeploymentSettings deployment = deployment(name);
        List<SpecEntry> entries = objects(name);
        for (Contract contract : specs(entries, Contract.class)) {
            String key = deployment.callers().get(contract.workspace());
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
            assertThat(HexFormat.of().formatHex(digest)).isEqualTo(contract.keySha256());
        }
        assertThat(deployment.samples().keySet())
                .containsExactlyInAnyOrderElementsOf(specs(entries, Pipeline.class).stream()
                        .map(Pipeline::name)
                        .toList());
        assertThat(deployment.entries())
                .extracting(DeploymentEntry::zone)
                .isSubsetOf(specs(entries, Zone.class).stream().map(Zone::name).toList());
    }

    /** Guards against two processes of one example, or both examples, wanting the same port. */
    @ParameterizedTest
    @CsvSource({"vatulele, 21000, 21999", "perlada, 22000, 22999"})
    void portsAreDistinctAndInRange(String name, int least, int most) throws Exception {
        DeploymentSettings deployment = deployment(name);
        List<Integer> ports = new ArrayList<>(
                List.of(deployment.objectApi().getPort(), deployment.vmList().getPort()));
        deployment.entries().stream()
                .flatMap(entry -> Stream.of(entry.listen(), entry.admin()))
                .map(InetSocketAddress::getPort)
                .forEach(ports::add);
        specs(objects(name), Target.class).stream()
                .flatMap(target -> Stream.of(target.agent(), target.address()))
                .map(address -> Integer.parseInt(address.substring(address.lastIndexOf(':') + 1)))
                .forEach(ports::add);
        assertThat(ports).doesNotHaveDuplicates().allSatisfy(port -> assertThat(port)
                .isBetween(least, most));
    }

    private static DeploymentSettings deployment(String name) throws IOException, JsonProblemException {
        Path file = EXAMPLES.resolve(name).resolve("deployment.json");
        return SettingsReader.deployment(file.toString(), Files.readString(file));
    }

    private static List<SpecEntry> objects(String name) throws IOException, JsonProblemException {
        List<SpecEntry> entries = new ArrayList<>();
        try (Stream<Path> files = Files.list(EXAMPLES.resolve(name).resolve("objects"))) {
            for (Path file : files.sorted().toList()) {
                entries.addAll(ObjectFileReader.read(file.toString(), Files.readString(file)));
            }
        }
        return entries;
    }

    private static <T extends ConfigSpec> List<T> specs(List<SpecEntry> entries, Class<T> type) {
        return entries.stream()
                .map(SpecEntry::spec)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }
}
