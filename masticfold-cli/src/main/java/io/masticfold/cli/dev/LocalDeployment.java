package io.masticfold.cli.dev;

import io.masticfold.agent.AgentDaemon;
import io.masticfold.cli.command.CommandException;
import io.masticfold.cli.command.ExitCode;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.Zone;
import io.masticfold.entry.EntryDaemon;
import io.masticfold.entry.EntryOptions;
import io.masticfold.platform.json.AddressSupport;
import io.masticfold.platform.json.JsonSpecCodec;
import io.masticfold.platform.settings.AgentSettings;
import io.masticfold.platform.settings.DeploymentEntry;
import io.masticfold.platform.settings.EntrySettings;
import io.masticfold.testkit.object.ObjectApiStandIn;
import io.masticfold.testkit.targets.TargetStandIn;
import io.masticfold.testkit.vm.Vm;
import io.masticfold.testkit.vm.VmListStandIn;
import io.masticfold.testkit.vm.VmState;
import io.masticfold.wire.LinkStatus;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Runs a whole deployment in this process: stand-ins, agents and entries, on loopback. */
public final class LocalDeployment {

    private static final int ADMIN_PORT_OFFSET = 100;
    private static final int ENTRY_THREADS = 2;
    private static final int DRAIN_MILLIS = 10_000;
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final long POLL_MILLIS = 20;

    private final DeploymentFiles files;
    private final StandInProfiles profiles;
    private final EntryOptions options;
    private final ObjectApiStandIn objectApi;
    private final VmListStandIn vmList;
    private final Map<String, TargetStandIn> targets = new LinkedHashMap<>();
    private final List<AgentDaemon> agents = new ArrayList<>();
    private final List<EntryDaemon> entries = new ArrayList<>();

    /**
     * Creates a deployment without starting it.
     *
     * @param files what to run
     * @param profiles behaviour of the target stand-ins
     * @param options policies of the entries
     */
    public LocalDeployment(DeploymentFiles files, StandInProfiles profiles, EntryOptions options) {
        this.files = files;
        this.profiles = profiles;
        this.options = options;
        this.objectApi = new ObjectApiStandIn(files.settings().objectApi());
        this.vmList = new VmListStandIn(files.settings().vmList());
    }

    /**
     * Starts everything and waits until every entry has a usable link to every agent.
     *
     * @throws CommandException if an address is taken or the deployment does not become ready
     */
    public void start() throws CommandException {
        try {
            startStandIns();
            startAgents();
            startEntries();
            awaitReady();
        } catch (IOException | MasticfoldException e) {
            throw new CommandException(ExitCode.FAILED, "the deployment cannot start: " + e.getMessage(), e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new CommandException(ExitCode.FAILED, "interrupted", e);
        }
    }

    private void startStandIns() throws IOException {
        objectApi.start();
        JsonSpecCodec codec = new JsonSpecCodec();
        for (ConfigSpec spec : files.specs()) {
            objectApi.put(spec.kind().code(), spec.name(), codec.encode(spec));
        }
        vmList.start();
        for (Target target : files.all(Target.class)) {
            TargetStandIn standIn = new TargetStandIn(address(target.address()), profiles.profile(target));
            standIn.start();
            targets.put(target.name(), standIn);
        }
    }

    private void startAgents() throws IOException {
        for (Target target : files.all(Target.class)) {
            InetSocketAddress listen = address(target.agent());
            AgentSettings settings = new AgentSettings(
                    target.name(),
                    target.zone(),
                    region(target.zone()),
                    target.name(),
                    listen,
                    new InetSocketAddress(listen.getAddress(), listen.getPort() + ADMIN_PORT_OFFSET),
                    address(target.address()),
                    files.settings().sharedSecret(),
                    DRAIN_MILLIS);
            AgentDaemon agent = new AgentDaemon(settings);
            agent.start();
            agents.add(agent);
        }
    }

    private void startEntries() throws MasticfoldException {
        for (DeploymentEntry entry : files.settings().entries()) {
            EntrySettings settings = new EntrySettings(
                    entry.name(),
                    entry.zone(),
                    entry.region(),
                    entry.listen(),
                    entry.admin(),
                    files.settings().objectApi(),
                    files.settings().vmList(),
                    files.settings().sharedSecret(),
                    ENTRY_THREADS,
                    0,
                    EntrySettings.DEFAULT_MAX_CONNECTIONS);
            EntryDaemon daemon = new EntryDaemon(settings, options);
            daemon.start();
            entries.add(daemon);
            vmList.put(new Vm(
                    entry.name(), "entry", entry.zone(), text(entry.listen()), text(entry.admin()), VmState.LIVE));
        }
    }

    private void awaitReady() throws InterruptedException, CommandException {
        long deadline = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (!ready()) {
            if (System.nanoTime() - deadline > 0) {
                throw new CommandException(ExitCode.FAILED, "no usable link to every agent within " + READY_TIMEOUT);
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    private boolean ready() {
        int expected = targets.size();
        return entries.stream()
                .allMatch(entry -> entry.links().size() == expected
                        && entry.links().stream().allMatch(LinkStatus::usable)
                        && entry.links().stream()
                                .allMatch(link -> link.peerDigest()
                                        == entry.configuration().digest()));
    }

    /** Stops entries, agents and stand-ins, in this order. */
    public void stop() throws InterruptedException {
        for (EntryDaemon entry : entries) {
            entry.stop();
        }
        agents.forEach(AgentDaemon::stop);
        targets.values().forEach(TargetStandIn::stop);
        vmList.stop();
        objectApi.stop();
    }

    /** Returns the stand-in of the object API. */
    public ObjectApiStandIn objectApi() {
        return objectApi;
    }

    /** Returns the target stand-ins by name. */
    public Map<String, TargetStandIn> targets() {
        return Map.copyOf(targets);
    }

    /** Returns the entries. */
    public List<EntryDaemon> entries() {
        return List.copyOf(entries);
    }

    private String region(String zone) {
        return files.all(Zone.class).stream()
                .filter(known -> known.name().equals(zone))
                .map(Zone::region)
                .findFirst()
                .orElse("unknown");
    }

    private static InetSocketAddress address(String hostPort) {
        return AddressSupport.parse(hostPort)
                .orElseThrow(() -> new IllegalArgumentException("not a numeric ip:port: '" + hostPort + "'"));
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ':' + address.getPort();
    }
}
