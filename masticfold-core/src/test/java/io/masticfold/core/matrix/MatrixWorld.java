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
final class MatrixWorld {

    static final String MAIN = "main";
    static final Duration TICK = Duration.ofMillis(100);
    static final Duration WINDOW = Duration.ofSeconds(4);
    /** Longer than the heartbeat timeout of a link (1500 ms). */
    static final Duration FREEZE = Duration.ofMillis(2500);

    static final Duration OUTAGE = Duration.ofSeconds(1);

    private static final Contract CONTRACT =
            new Contract("c", "farm", "0".repeat(64), 8000, 1, 5, 1000, 1000, 1000, List.of());
    private static final Duration IMPATIENCE = Duration.ofMillis(3);
    private static final Duration LONGEST_PAUSE = Duration.ofSeconds(1);
    private static final int BURST = 20;
    private static final int LOAD_REQUESTS = 140;
    private static final Duration LOAD_INTERVAL = Duration.ofMillis(50);

    private final @Nullable Mutation mutation;
    private final Map<String, Integer> lastIndex = new HashMap<>();
    private int strikes;
    private int requests;
    final ManualScheduler clock = new ManualScheduler();
    final Cell cell;
    final MatrixStore store = new MatrixStore(this);
    final List<Execution> executions = new ArrayList<>();
    final List<RecordedReply> replies = new ArrayList<>();
    final List<RecordedReply> healed = new ArrayList<>();
    final List<Operator> operators = new ArrayList<>();
    final List<Violation> violations = new ArrayList<>();
    final List<MatrixAgent> agents;
    final List<MatrixEntry> entries = new ArrayList<>();

    MatrixWorld(Cell cell, @Nullable Mutation mutation) {
        this.cell = cell;
        this.mutation = mutation;
        for (ConfigSpec spec : initial()) {
            store.put(new ObjectKey(spec.kind(), spec.name()), 0, "initial-" + spec.name(), spec, _reply -> {});
        }
        clock.advance(TICK);
        agents = Stream.of("a", "b", "c")
                .map(name -> new MatrixAgent(name, this))
                .toList();
        entries.add(new MatrixEntry(1, this));
        entries.add(new MatrixEntry(2, this));
    }

    private static List<ConfigSpec> initial() {
        List<ConfigSpec> specs = new ArrayList<>();
        for (String name : List.of("a", "b", "c")) {
            specs.add(new Zone("z" + name, "region", ZoneState.IN));
            specs.add(target(name, TargetState.SERVING, MatrixTarget.COLD_CONCURRENCY));
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

    boolean off(Mutation mechanism) {
        return mutation == mechanism;
    }

    long after(Duration length) {
        return clock.nanoTime() + length.toNanos();
    }

    void violated(Invariant invariant, String detail) {
        violations.add(new Violation(invariant, detail));
    }

    Spot spot(StageDispatch dispatch, MatrixAgent agent) {
        int entry = (int) dispatch.attempt().entry().startMillis() - 1;
        return new Spot(entries.get(entry), agent);
    }

    /** Injects the next fault if the request under test has reached the step of the cell. */
    void reached(Step step, Spot spot, String requestId) {
        if (step != cell.step() || strikes >= cell.faults().size() || !requestId.startsWith(MAIN) || !started()) {
            return;
        }
        cell.faults().get(strikes++).strike(this, spot);
    }

    /** Injects the next fault if a message carries a change under test that the receiver does not have yet. */
    void reachedChange(Step step, Spot spot, Collection<ConfigObject> objects, ConfigSnapshot known) {
        boolean brings = objects.stream()
                .anyMatch(object -> object.changeId().startsWith(MAIN)
                        && known.object(object.key()).map(ConfigObject::version).orElse(0L) < object.version());
        if (brings) {
            reached(step, spot, MAIN);
        }
    }

    private boolean started() {
        return requests > 0 || !operators.isEmpty();
    }

    /** Returns the objects to merge into a replica, with raised versions if the version comparison is disabled. */
    Collection<ConfigObject> rewrite(ConfigSnapshot known, Collection<ConfigObject> objects) {
        if (!off(Mutation.CONFIG_VERSION_COMPARISON)) {
            return objects;
        }
        return objects.stream()
                .map(object -> {
                    Optional<ConfigObject> had = known.object(object.key());
                    boolean same = had.map(other -> other.changeId().equals(object.changeId()))
                            .orElse(true);
                    long version = same ? object.version() : had.orElseThrow().version() + 1;
                    return new ConfigObject(object.key(), version, object.changeId(), object.spec());
                })
                .toList();
    }

    /** Sends a burst of idempotent requests through both entries at the same time. */
    void burst() {
        for (int i = 0; i < BURST; i++) {
            submit("burst-" + requests, i % 2, null, "burst body " + i, Scenario.READ_STREAM, false, () -> {});
        }
    }

    /** Submits two conflicting changes of one availability zone, both based on the same version. */
    void race() {
        change(0, "race-" + operators.size(), new Zone("zb", "region", ZoneState.OUT));
        change(1, "race-" + operators.size(), new Zone("zb", "elsewhere", ZoneState.IN));
    }

    /** Submits a change through an entry; faults are injected into the agent with the same index. */
    private void change(int entry, String changeId, ConfigSpec spec) {
        Operator operator = new Operator(this, entry, agents.get(entry), changeId, spec);
        operators.add(operator);
        operator.submit();
    }

    RecordedReply submit(
            String id,
            int entry,
            @Nullable String key,
            String body,
            Scenario scenario,
            boolean streaming,
            Runnable next) {
        requests++;
        PipelineRequest request = new PipelineRequest(
                id, CONTRACT, scenario.pipeline(), key, Payload.ofUtf8(body), streaming, Deadline.after(clock, WINDOW));
        RecordedReply reply = new RecordedReply(request, this, next);
        replies.add(reply);
        entries.get(entry).submit(request, reply);
        return reply;
    }

    private RecordedReply call(int entry, String key, String body, Runnable next) {
        Scenario scenario = cell.scenario();
        String sent = scenario.idempotent() ? null : key;
        return submit(MAIN + "-" + requests, entry, sent, body, scenario, scenario.idempotent(), next);
    }

    /** Sends a request and, if the answer allows a retry, sends it once more through the other entry. */
    private void callAndRetry(int entry, String key, String body) {
        RecordedReply[] first = new RecordedReply[1];
        first[0] = call(entry, key, body, () -> {
            RecordedReply reply = first[0];
            Duration wait = retryAfter(reply);
            if (!wait.isNegative()) {
                clock.schedule(wait, () -> call(1 - entry, key, body, () -> {}));
            }
        });
    }

    private static Duration retryAfter(@Nullable RecordedReply reply) {
        if (reply == null || reply.broken) {
            return Duration.ofMillis(1);
        }
        Duration stated = reply.failure == null ? Duration.ZERO : reply.failure.retryAfter();
        if (stated.isZero()) {
            return Duration.ofNanos(-1);
        }
        return stated.compareTo(LONGEST_PAUSE) < 0 ? stated : LONGEST_PAUSE;
    }

    /** Runs the cell and returns the violations found. */
    List<Violation> run() {
        clock.advance(Duration.ofMillis(500));
        if (cell.step().operator()) {
            operate();
        } else {
            callAndRetry(0, "key", "the body of the request under test");
            if (cell.scenario().impatient()) {
                clock.advance(IMPATIENCE);
                callAndRetry(1, "key", "the body of the request under test");
            }
        }
        sample(Duration.ofSeconds(12));
        heal();
        new Judge(this).judge();
        return violations;
    }

    /** Takes an availability zone out of service and lets a target leave, both under load. */
    private void operate() {
        change(0, MAIN + "-zone", new Zone("za", "region", ZoneState.OUT));
        change(1, MAIN + "-target", target("b", TargetState.LEAVING, MatrixTarget.COLD_CONCURRENCY));
        for (int i = 0; i < LOAD_REQUESTS; i++) {
            int number = i;
            clock.schedule(LOAD_INTERVAL.multipliedBy(i / 2), () -> {
                String key = cell.scenario().idempotent() ? null : "load-" + number;
                submit("load-" + number, number % 2, key, "load " + number, cell.scenario(), false, () -> {});
            });
        }
    }

    /** Ends all faults and sends further requests: with the same key, with a new key, and with another body. */
    private void heal() {
        strikes = cell.faults().size();
        store.losses = 0;
        agents.forEach(agent -> agent.target.failures = 0);
        entries.forEach(MatrixEntry::clearMishaps);
        if (cell.faults().contains(Fault.AGENT_SHUTDOWN)) {
            agents.forEach(MatrixAgent::kill);
            sample(Duration.ofSeconds(1));
        }
        for (int entry = 0; entry < 2; entry++) {
            if (!cell.step().operator()) {
                healed.add(call(entry, "key", "the body of the request under test", () -> {}));
            }
            healed.add(call(entry, "fresh-" + entry, "a fresh body " + entry, () -> {}));
            if (!cell.scenario().idempotent()) {
                healed.add(call(entry, "key", "another body under the old key", () -> {}));
            }
            sample(Duration.ofSeconds(5));
        }
    }

    /** Advances the clock and checks the configuration of every process at each tick. */
    private void sample(Duration length) {
        long end = after(length);
        while (clock.nanoTime() < end) {
            clock.advance(TICK);
            Stream.concat(entries.stream(), agents.stream()).forEach(this::watch);
        }
    }

    private void watch(ConfigHolder holder) {
        if (holder.process().dead() || holder.process().frozen()) {
            return;
        }
        for (ConfigObject object : holder.snapshot().objects()) {
            int index = index(object.changeId());
            int before = lastIndex.merge(holder.holder() + object.key(), index, (_old, now) -> now);
            Integer highest = lastIndex.merge("max " + holder.holder() + object.key(), index, Math::max);
            if (before < highest) {
                violated(Invariant.CONFIG_FORWARD, holder.holder() + " reverted to " + object.changeId());
            }
        }
        for (Operator operator : operators) {
            long due = Math.max(
                    operator.acceptedNanos == Long.MAX_VALUE
                            ? Long.MAX_VALUE
                            : operator.acceptedNanos + Duration.ofSeconds(3).toNanos(),
                    holder.aliveSinceNanos() + Duration.ofSeconds(1).toNanos());
            if (clock.nanoTime() > due && index(holder, operator) < index(operator.changeId)) {
                violated(Invariant.CONFIG_FORWARD, holder.holder() + " lacks " + operator.changeId + " after 3 s");
            }
        }
    }

    private int index(ConfigHolder holder, Operator operator) {
        return holder.snapshot()
                .object(operator.key())
                .map(object -> index(object.changeId()))
                .orElse(-1);
    }

    private int index(String changeId) {
        for (int i = 0; i < store.history.size(); i++) {
            if (store.history.get(i).changeId().equals(changeId)) {
                return i;
            }
        }
        return -1;
    }
}
