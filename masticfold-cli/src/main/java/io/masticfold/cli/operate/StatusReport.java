package io.masticfold.cli.operate;

import io.masticfold.cli.client.AgentStatus;
import io.masticfold.cli.client.ContractStatus;
import io.masticfold.cli.client.EntryAnswer;
import io.masticfold.cli.client.EntryStatus;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.Zone;
import io.masticfold.platform.json.JsonSpecCodec;
import io.masticfold.platform.store.StoredObject;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Stream;

/** Prints the sections of the status, one line for each process, zone, target or contract. */
final class StatusReport {

    private final List<EntryAnswer> answers;
    private final PrintStream out;
    private final SortedMap<String, AgentStatus> agents = new TreeMap<>();

    StatusReport(List<EntryAnswer> answers, PrintStream out) {
        this.answers = answers;
        this.out = out;
        for (EntryStatus status : statuses()) {
            status.agents().forEach(agent -> agents.merge(agent.target(), agent, StatusReport::newer));
        }
    }

    void processes() {
        out.println("PROCESSES");
        for (EntryAnswer answer : answers) {
            out.println(answer.status()
                    .map(StatusReport::entryLine)
                    .orElseGet(() -> "entry " + answer.vm().name() + "  zone "
                            + answer.vm().zone() + "  no answer"));
        }
        agents.values().forEach(agent -> out.println(agentLine(agent)));
        long digests = Stream.concat(
                        statuses().stream().map(EntryStatus::configDigest),
                        agents.values().stream().map(AgentStatus::configDigest))
                .distinct()
                .count();
        out.println(digests <= 1 ? "configuration is the same everywhere" : "configuration differs, see the digests");
    }

    void zones(List<StoredObject> objects) {
        out.println("ZONES");
        specs(objects, ObjectKind.ZONE, Zone.class)
                .forEach(zone -> out.println(zone.name() + "  region " + zone.region() + "  " + code(zone.state())));
    }

    void targets(List<StoredObject> objects) {
        out.println("TARGETS");
        specs(objects, ObjectKind.TARGET, Target.class).forEach(target -> out.println(targetLine(target)));
    }

    void contracts() {
        out.println("CONTRACTS");
        SortedMap<String, ContractStatus> contracts = new TreeMap<>();
        for (EntryStatus status : statuses()) {
            status.contracts().forEach(contract -> contracts.merge(contract.name(), contract, ContractStatus::plus));
        }
        contracts.values().forEach(contract -> out.println(contractLine(contract)));
    }

    private List<EntryStatus> statuses() {
        return answers.stream()
                .map(EntryAnswer::status)
                .flatMap(Optional::stream)
                .toList();
    }

    private static AgentStatus newer(AgentStatus first, AgentStatus second) {
        return first.configRevision() >= second.configRevision() ? first : second;
    }

    private static String entryLine(EntryStatus status) {
        String ready = status.ready() ? "ready" : "not ready";
        return "entry " + status.name() + "  zone " + status.zone() + "  " + ready + "  "
                + configuration(status.configRevision(), status.configDigest());
    }

    private static String agentLine(AgentStatus agent) {
        String usable = agent.usable() ? "usable" : "not usable";
        return "agent " + agent.target() + "  zone " + agent.zone() + "  " + usable + "  "
                + configuration(agent.configRevision(), agent.configDigest());
    }

    private static String configuration(long revision, String digest) {
        return "revision " + revision + "  digest " + digest;
    }

    private String targetLine(Target target) {
        String line =
                target.name() + "  zone " + target.zone() + "  pool " + target.pool() + "  " + code(target.state());
        AgentStatus agent = agents.get(target.name());
        return agent == null
                ? line + "  agent unknown"
                : line + "  " + agent.temperature() + "  in flight " + agent.inFlight() + "  limit " + agent.limit();
    }

    private static String contractLine(ContractStatus contract) {
        return String.format(
                Locale.ROOT,
                "%s  answered %d  in window %d  attainment %.4f",
                contract.name(),
                contract.answered(),
                contract.inWindow(),
                contract.attainment());
    }

    private static <S extends ConfigSpec> List<S> specs(List<StoredObject> objects, ObjectKind kind, Class<S> type) {
        JsonSpecCodec codec = new JsonSpecCodec();
        return objects.stream()
                .filter(object -> object.kind().equals(kind.code()) && object.spec() != null)
                .map(object -> decode(codec, kind, object))
                .flatMap(Optional::stream)
                .map(type::cast)
                .toList();
    }

    private static Optional<ConfigSpec> decode(JsonSpecCodec codec, ObjectKind kind, StoredObject object) {
        try {
            return Optional.of(codec.decode(kind, object.name(), String.valueOf(object.spec())));
        } catch (MasticfoldException e) {
            return Optional.empty();
        }
    }

    private static String code(Enum<?> state) {
        return state.name().toLowerCase(Locale.ROOT);
    }
}
