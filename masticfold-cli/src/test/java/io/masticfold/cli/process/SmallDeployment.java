package io.masticfold.cli.process;

import io.masticfold.core.model.TargetKind;
import io.masticfold.testkit.StandInMain;
import io.masticfold.testkit.net.FreePorts;
import io.masticfold.testkit.relay.TcpRelay;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Runs a small deployment as separate processes: two entries, two engines and two payment services in two availability
 * zones, an agent beside each of them, the object API and the VM list. The second entry reaches the object API over a
 * relay, so that a test can cut it off alone, and so do the links to each agent.
 */
final class SmallDeployment implements AutoCloseable {

    static final String REGION = "test-region";
    static final String SECRET = "process-test-secret-0001";
    static final String CALLER_KEY = "process-test-caller-key";
    static final List<String> ZONES = List.of("zone-a", "zone-b");

    private static final int SERVICE_MILLIS = 20;
    private static final String QUESTION =
            """
            {"stages": [{"name": "answer", "pool": "engines", "idempotent": true, "cost": 1}]}
            """;
    private static final String STREAM =
            """
            {"stages": [{"name": "answer", "pool": "engines", "idempotent": true, "cost": 1, "streaming": true}]}
            """;
    private static final String PAYMENT =
            """
            {"stages": [{"name": "check", "pool": "engines", "idempotent": true, "cost": 1},
                        {"name": "pay", "pool": "payments", "idempotent": false, "cost": 1}]}
            """;
    private static final String TARGET =
            """
            {"zone": "%s", "pool": "%s", "kind": "%s", "agent": "%s", "address": "%s", "state": "serving",
             "maxConcurrency": 16, "coldConcurrency": 2, "queueLimit": 64}
            """;
    private static final String CONTRACT =
            """
            {"workspace": "shop", "keySha256": "%s", "windowMillis": 8000, "worth": 1, "priority": 5,
             "requestsPerSecond": 2000, "burst": 1000, "maxInFlight": 256,
             "pipelines": ["question", "stream", "payment"]}
            """;

    private final ObjectApiProcess objectApi;
    private final InetSocketAddress vmList;
    private final ChildProcess vmListProcess;
    private final TcpRelay relay;
    private final Map<String, TargetProcess> targets = new LinkedHashMap<>();
    private final Map<String, AgentProcess> agents = new LinkedHashMap<>();
    private final Map<String, TcpRelay> links = new LinkedHashMap<>();
    private final List<EntryProcess> entries = new ArrayList<>();

    private SmallDeployment(
            ObjectApiProcess objectApi, InetSocketAddress vmList, ChildProcess vmListProcess, TcpRelay relay) {
        this.objectApi = objectApi;
        this.vmList = vmList;
        this.vmListProcess = vmListProcess;
        this.relay = relay;
    }

    /** Starts all processes and waits until both entries serve every pool. */
    static SmallDeployment start(Path directory) throws Exception {
        ObjectApiProcess objectApi = ObjectApiProcess.start(directory);
        InetSocketAddress vmAddress = FreePorts.next();
        String vmHostPort = TargetProcess.hostPort(vmAddress);
        ChildProcess vmList =
                ChildProcess.start("vm-list", directory, StandInMain.class, List.of("vm-list", vmHostPort));
        TcpRelay relay = startRelay(objectApi.address());
        SmallDeployment deployment = new SmallDeployment(objectApi, vmAddress, vmList, relay);
        try {
            deployment.startTargets(directory);
            deployment.createObjects();
            deployment.entries.add(
                    EntryProcess.start("entry-1", ZONES.get(0), directory, objectApi.address(), vmHostPort));
            deployment.entries.add(EntryProcess.start("entry-2", ZONES.get(1), directory, relay.address(), vmHostPort));
            deployment.awaitReady();
            deployment.listEntries();
            return deployment;
        } catch (Exception e) {
            deployment.close();
            throw e;
        }
    }

    ObjectApiProcess objectApi() {
        return objectApi;
    }

    /** Returns the address of the VM list. */
    InetSocketAddress vmList() {
        return vmList;
    }

    /** Returns the relay between the second entry and the object API. */
    TcpRelay relay() {
        return relay;
    }

    EntryProcess entry(int index) {
        return entries.get(index);
    }

    List<EntryProcess> entries() {
        return List.copyOf(entries);
    }

    List<AgentProcess> agents() {
        return List.copyOf(agents.values());
    }

    AgentProcess agent(String target) {
        return agents.get(target);
    }

    /** Returns the relay between the entries and the agent of a target. */
    TcpRelay link(String target) {
        return links.get(target);
    }

    TargetProcess target(String name) {
        return targets.get(name);
    }

    List<TargetProcess> targets() {
        return List.copyOf(targets.values());
    }

    /** Returns the targets that stand in an availability zone. */
    List<TargetProcess> targetsOf(String zone) {
        String suffix = zone.substring(zone.lastIndexOf('-'));
        return targets.values().stream()
                .filter(target -> target.name().endsWith(suffix))
                .toList();
    }

    /** Counts the executions of an operation over the payment services. */
    int payments(String operation) throws IOException {
        return target("pay-a").ran(operation).size()
                + target("pay-b").ran(operation).size();
    }

    /** Sets the state of an availability zone under the condition that it has a version. */
    HttpOnce.Answer zone(String zone, String state, long expected, String changeId) throws IOException {
        String spec = "{\"region\": \"" + REGION + "\", \"state\": \"" + state + "\"}";
        return objectApi.put("zone", zone, expected, changeId, spec);
    }

    /** Returns the end of the logs of all processes, for messages. */
    String logs() {
        return Stream.of(
                        entries.stream().map(EntryProcess::process),
                        agents.values().stream().map(AgentProcess::process),
                        Stream.of(objectApi.process()))
                .flatMap(stream -> stream)
                .map(ChildProcess::logTail)
                .collect(Collectors.joining("\n"));
    }

    @Override
    public void close() throws InterruptedException {
        for (EntryProcess entry : entries) {
            entry.process().kill();
        }
        for (AgentProcess agent : agents.values()) {
            agent.process().kill();
        }
        for (TargetProcess target : targets.values()) {
            target.process().kill();
        }
        relay.stop();
        links.values().forEach(TcpRelay::stop);
        vmListProcess.kill();
        objectApi.process().kill();
    }

    private void startTargets(Path directory) throws IOException {
        for (String zone : ZONES) {
            String suffix = zone.substring(zone.lastIndexOf('-'));
            startTarget(TargetProcess.start("engine" + suffix, TargetKind.ENGINE, directory, SERVICE_MILLIS), zone);
            startTarget(TargetProcess.start("pay" + suffix, TargetKind.SERVICE, directory, SERVICE_MILLIS), zone);
        }
        for (String zone : ZONES) {
            for (TargetProcess target : targetsOf(zone)) {
                AgentProcess agent = AgentProcess.start(target, zone, directory);
                agents.put(target.name(), agent);
                links.put(target.name(), startRelay(agent.listen()));
            }
        }
    }

    private static TcpRelay startRelay(InetSocketAddress destination) throws IOException {
        TcpRelay relay = new TcpRelay(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), destination);
        relay.start();
        return relay;
    }

    private void startTarget(TargetProcess target, String zone) {
        if (targetsOf(zone).contains(target)) {
            throw new IllegalStateException("target started twice: " + target.name());
        }
        targets.put(target.name(), target);
    }

    private void createObjects() throws Exception {
        Await.until(
                "the object API answers",
                () -> {
                    try {
                        return HttpOnce.get(objectApi.address(), "/v1/calls").status() == 200;
                    } catch (IOException e) {
                        return false;
                    }
                },
                () -> objectApi.process().logTail());
        for (String zone : ZONES) {
            objectApi.create("zone", zone, "{\"region\": \"" + REGION + "\", \"state\": \"in\"}");
            for (TargetProcess target : targetsOf(zone)) {
                boolean engine = target.name().startsWith("engine");
                objectApi.create(
                        "target",
                        target.name(),
                        TARGET.formatted(
                                zone,
                                engine ? "engines" : "payments",
                                engine ? "engine" : "service",
                                link(target.name()).hostPort(),
                                TargetProcess.hostPort(target.address())));
            }
        }
        objectApi.create("pipeline", "question", QUESTION);
        objectApi.create("pipeline", "stream", STREAM);
        objectApi.create("pipeline", "payment", PAYMENT);
        objectApi.create("contract", "shop", CONTRACT.formatted(sha256(CALLER_KEY)));
    }

    private void listEntries() throws IOException {
        for (EntryProcess entry : entries) {
            String vm = "{\"role\": \"entry\", \"zone\": \"" + entry.zone() + "\", \"address\": \""
                    + TargetProcess.hostPort(entry.address()) + "\", \"admin\": \""
                    + TargetProcess.hostPort(entry.admin()) + "\", \"state\": \"live\"}";
            HttpOnce.send(vmList, "PUT", "/v1/vms/" + entry.name(), Map.of(), vm);
        }
    }

    /** Waits until each entry is ready and a payment, which uses every pool, succeeds through it. */
    private void awaitReady() throws Exception {
        for (EntryProcess entry : entries) {
            Await.until(entry.name() + " is ready", entry::ready, this::logs);
            int[] tries = {0};
            Await.until(
                    "a payment succeeds through " + entry.name(),
                    () -> Caller.tryCall(entry, "payment", "warm-" + entry.name() + '-' + tries[0]++)
                            .map(Reply::ok)
                            .orElse(false),
                    this::logs);
        }
    }

    private static String sha256(String text) throws NoSuchAlgorithmException {
        byte[] digest = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest);
    }
}
