package io.masticfold.core.matrix;

import io.masticfold.core.attempt.Payload;
import io.masticfold.core.attempt.StageDispatch;
import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.invariant.Invariant;
import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import io.masticfold.core.pipeline.PipelineRequest;
import io.masticfold.core.time.Deadline;
import io.masticfold.core.time.ManualScheduler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/** Simulates two entries, three agents with their targets and one object store in virtual time, and runs one cell. */
final class Simulation {

    static final String ID_PREFIX_UNDER_TEST = "main";
    static final Duration TICK_INTERVAL = Duration.ofMillis(100);
    static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(4);
    /** Longer than the heartbeat timeout of a link (1500 ms). */
    static final Duration FREEZE_DURATION = Duration.ofMillis(2500);

    static final Duration STORE_FAULT_DURATION = Duration.ofSeconds(1);

    private static final Contract CONTRACT =
            new Contract("c", "farm", "0".repeat(64), 8000, 1, 5, 1000, 1000, 1000, List.of());
    private static final Duration DUPLICATE_REQUEST_DELAY = Duration.ofMillis(3);
    private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(1);
    private static final int BURST_REQUESTS = 20;
    private static final int LOAD_REQUESTS = 140;
    private static final Duration LOAD_INTERVAL = Duration.ofMillis(50);

    private final @Nullable Mutation mutation;
    private final Map<String, Integer> historyIndexes = new HashMap<>();
    private int injectedFaults;
    private int submittedRequests;
    final ManualScheduler clock = new ManualScheduler();
    final Cell cell;
    final SimulatedStore store = new SimulatedStore(this);
    final List<Execution> executions = new ArrayList<>();
    final List<RecordedResponse> responses = new ArrayList<>();
    final List<RecordedResponse> responsesAfterFaults = new ArrayList<>();
    final List<OperatorChange> changes = new ArrayList<>();
    final List<Violation> violations = new ArrayList<>();
    final List<SimulatedAgent> agents;
    final List<SimulatedEntry> entries = new ArrayList<>();

    Simulation(Cell cell, @Nullable Mutation mutation) {
        this.cell = cell;
        this.mutation = mutation;
        for (ConfigSpec spec : initialConfig()) {
            store.put(new ObjectKey(spec.kind(), spec.name()), 0, "initial-" + spec.name(), spec, _reply -> {});
        }
        clock.advance(TICK_INTERVAL);
        agents = Stream.of("a", "b", "c")
                .map(name -> new SimulatedAgent(name, this))
                .toList();
        entries.add(new SimulatedEntry(1, this));
        entries.add(new SimulatedEntry(2, this));
    }

    private static List<ConfigSpec> initialConfig() {
        List<ConfigSpec> specs = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            specs.add(new Zone("z" + name, "region", ZoneState.IN));
            specs.add(target(name, TargetState.SERVING, SimulatedTarget.COLD_CONCURRENCY));
        }
        return specs;
    }

    static Target target(String name, TargetState state, int coldConcurrency) {
        return new Target(
                name,
                "z" + name,
                "pool",
                TargetKind.ENGINE,
                "127.0.0.1:1",
                "127.0.0.1:2",
                state,
                8,
                coldConcurrency,
                8,
                true,
                true,
                null);
    }

    boolean isDisabled(Mutation mechanism) {
        return mutation == mechanism;
    }

    long nanosAfter(Duration duration) {
        return clock.nanoTime() + duration.toNanos();
    }

    void reportViolation(Invariant invariant, String detail) {
        violations.add(new Violation(invariant, detail));
    }

    FaultSite faultSite(StageDispatch dispatch, SimulatedAgent agent) {
        int entry = (int) dispatch.attempt().entry().startMillis() - 1;
        return new FaultSite(entries.get(entry), agent);
    }

    /** Injects the next fault if the request under test has reached the step of the cell. */
    void stepReached(Step step, FaultSite site, String requestId) {
        if (step != cell.step()
                || injectedFaults >= cell.faults().size()
                || !requestId.startsWith(ID_PREFIX_UNDER_TEST)
                || !started()) {
            return;
        }
        cell.faults().get(injectedFaults++).inject(this, site);
    }

    /** Injects the next fault if a message carries a change under test that the receiver does not have yet. */
    void changeStepReached(Step step, FaultSite site, Collection<ConfigObject> objects, ConfigSnapshot known) {
        boolean carriesNewChange = objects.stream()
                .anyMatch(object -> object.changeId().startsWith(ID_PREFIX_UNDER_TEST)
                        && known.object(object.key()).map(ConfigObject::version).orElse(0L) < object.version());
        if (carriesNewChange) {
            stepReached(step, site, ID_PREFIX_UNDER_TEST);
        }
    }

    private boolean started() {
        return submittedRequests > 0 || !changes.isEmpty();
    }

    /** Returns the objects to merge into a replica, with raised versions if the version comparison is disabled. */
    Collection<ConfigObject> objectsToMerge(ConfigSnapshot known, Collection<ConfigObject> objects) {
        if (!isDisabled(Mutation.CONFIG_VERSION_COMPARISON)) {
            return objects;
        }
        return objects.stream()
                .map(object -> {
                    Optional<ConfigObject> current = known.object(object.key());
                    boolean same = current.map(other -> other.changeId().equals(object.changeId()))
                            .orElse(true);
                    long version =
                            same ? object.version() : current.orElseThrow().version() + 1;
                    return new ConfigObject(object.key(), version, object.changeId(), object.spec());
                })
                .toList();
    }

    /** Sends a burst of idempotent requests through both entries at the same time. */
    void submitBurst() {
        for (int i = 0; i < BURST_REQUESTS; i++) {
            submit("burst-" + submittedRequests, i % 2, null, "burst body " + i, Scenario.READ_STREAM, false, () -> {});
        }
    }

    /** Submits two conflicting changes of one availability zone, both based on the same version. */
    void submitRacingChanges() {
        submitChange(0, "race-" + changes.size(), new Zone("zb", "region", ZoneState.OUT));
        submitChange(1, "race-" + changes.size(), new Zone("zb", "elsewhere", ZoneState.IN));
    }

    /** Submits a change through an entry; faults are injected into the agent with the same index. */
    private void submitChange(int entry, String changeId, ConfigSpec spec) {
        OperatorChange change = new OperatorChange(this, entry, agents.get(entry), changeId, spec);
        changes.add(change);
        change.submit();
    }

    RecordedResponse submit(
            String id,
            int entry,
            @Nullable String key,
            String body,
            Scenario scenario,
            boolean streaming,
            Runnable continuation) {
        submittedRequests++;
        PipelineRequest request = new PipelineRequest(
                id,
                CONTRACT,
                scenario.pipeline(),
                key,
                Payload.ofUtf8(body),
                streaming,
                Deadline.after(clock, REQUEST_TIMEOUT));
        RecordedResponse response = new RecordedResponse(request, this, continuation);
        responses.add(response);
        entries.get(entry).submit(request, response);
        return response;
    }

    private RecordedResponse submitUnderTest(int entry, String key, String body, Runnable continuation) {
        Scenario scenario = cell.scenario();
        String idempotencyKey = scenario.idempotent() ? null : key;
        return submit(
                ID_PREFIX_UNDER_TEST + "-" + submittedRequests,
                entry,
                idempotencyKey,
                body,
                scenario,
                scenario.idempotent(),
                continuation);
    }

    /** Sends a request and, if the answer allows a retry, sends it once more through the other entry. */
    private void submitAndRetry(int entry, String key, String body) {
        RecordedResponse[] first = new RecordedResponse[1];
        first[0] = submitUnderTest(entry, key, body, () -> {
            RecordedResponse response = first[0];
            Duration wait = retryAfter(response);
            if (!wait.isNegative()) {
                clock.schedule(wait, () -> submitUnderTest(1 - entry, key, body, () -> {}));
            }
        });
    }

    private static Duration retryAfter(@Nullable RecordedResponse response) {
        if (response == null || response.connectionLost) {
            return Duration.ofMillis(1);
        }
        Duration requested = response.failure == null ? Duration.ZERO : response.failure.retryAfter();
        if (requested.isZero()) {
            return Duration.ofNanos(-1);
        }
        return requested.compareTo(MAX_RETRY_DELAY) < 0 ? requested : MAX_RETRY_DELAY;
    }

    /** Runs the cell and returns the violations found. */
    List<Violation> run() {
        clock.advance(Duration.ofMillis(500));
        if (cell.step().operatorChange()) {
            submitChangesUnderLoad();
        } else {
            submitAndRetry(0, "key", "the body of the request under test");
            if (cell.scenario().sendsDuplicate()) {
                clock.advance(DUPLICATE_REQUEST_DELAY);
                submitAndRetry(1, "key", "the body of the request under test");
            }
        }
        advanceAndCheckConfig(Duration.ofSeconds(12));
        endFaultsAndResubmit();
        new InvariantChecker(this).check();
        return violations;
    }

    /** Takes an availability zone out of service and lets a target leave, both under load. */
    private void submitChangesUnderLoad() {
        submitChange(0, ID_PREFIX_UNDER_TEST + "-zone", new Zone("za", "region", ZoneState.OUT));
        submitChange(
                1,
                ID_PREFIX_UNDER_TEST + "-target",
                target("b", TargetState.LEAVING, SimulatedTarget.COLD_CONCURRENCY));
        for (int i = 0; i < LOAD_REQUESTS; i++) {
            int number = i;
            clock.schedule(LOAD_INTERVAL.multipliedBy(i / 2), () -> {
                String key = cell.scenario().idempotent() ? null : "load-" + number;
                submit("load-" + number, number % 2, key, "load " + number, cell.scenario(), false, () -> {});
            });
        }
    }

    /** Ends all faults and sends further requests: with the same key, with a new key, and with another body. */
    private void endFaultsAndResubmit() {
        injectedFaults = cell.faults().size();
        store.answersToLose = 0;
        agents.forEach(agent -> agent.target.callsToFail = 0);
        entries.forEach(SimulatedEntry::clearMessageFaults);
        if (cell.faults().contains(Fault.AGENT_SHUTDOWN)) {
            agents.forEach(SimulatedAgent::kill);
            advanceAndCheckConfig(Duration.ofSeconds(1));
        }
        for (int entry = 0; entry < 2; entry++) {
            if (!cell.step().operatorChange()) {
                responsesAfterFaults.add(submitUnderTest(entry, "key", "the body of the request under test", () -> {}));
            }
            responsesAfterFaults.add(submitUnderTest(entry, "fresh-" + entry, "a fresh body " + entry, () -> {}));
            if (!cell.scenario().idempotent()) {
                responsesAfterFaults.add(submitUnderTest(entry, "key", "another body under the old key", () -> {}));
            }
            advanceAndCheckConfig(Duration.ofSeconds(5));
        }
    }

    /** Advances the clock and checks the configuration of every process at each tick. */
    private void advanceAndCheckConfig(Duration duration) {
        long end = nanosAfter(duration);
        while (clock.nanoTime() < end) {
            clock.advance(TICK_INTERVAL);
            Stream.concat(entries.stream(), agents.stream()).forEach(this::checkConfig);
        }
    }

    private void checkConfig(ConfigHolder holder) {
        if (holder.process().dead() || holder.process().frozen()) {
            return;
        }
        for (ConfigObject object : holder.snapshot().objects()) {
            int index = historyIndex(object.changeId());
            int previous =
                    historyIndexes.merge(holder.processName() + object.key(), index, (_previous, latest) -> latest);
            Integer highest = historyIndexes.merge("max " + holder.processName() + object.key(), index, Math::max);
            if (previous < highest) {
                reportViolation(Invariant.CONFIG_FORWARD, holder.processName() + " reverted to " + object.changeId());
            }
        }
        for (OperatorChange change : changes) {
            long due = Math.max(
                    change.acceptedNanos == Long.MAX_VALUE
                            ? Long.MAX_VALUE
                            : change.acceptedNanos + Duration.ofSeconds(3).toNanos(),
                    holder.runningSinceNanos() + Duration.ofSeconds(1).toNanos());
            if (clock.nanoTime() > due && historyIndex(holder, change) < historyIndex(change.changeId)) {
                reportViolation(
                        Invariant.CONFIG_FORWARD, holder.processName() + " lacks " + change.changeId + " after 3 s");
            }
        }
    }

    private int historyIndex(ConfigHolder holder, OperatorChange change) {
        return holder.snapshot()
                .object(change.key())
                .map(object -> historyIndex(object.changeId()))
                .orElse(-1);
    }

    private int historyIndex(String changeId) {
        for (int i = 0; i < store.history.size(); i++) {
            if (store.history.get(i).changeId().equals(changeId)) {
                return i;
            }
        }
        return -1;
    }
}
