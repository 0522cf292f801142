package io.masticfold.core.limit;

import io.masticfold.core.model.Contract;
import io.masticfold.core.routing.RendezvousHashing;
import io.masticfold.core.time.TimeSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Measures the demand of each workspace at this entry and holds the rate shares assigned by the coordinators. The
 * coordinator of a workspace is the agent with the highest rendezvous weight, so that the entries agree on it without
 * communication. A share that is older than two seconds is replaced by an equal share. Safe for use by several threads.
 */
public final class QuotaClient implements RateShares {

    private static final long SHARE_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final double DEMAND_SMOOTHING = 0.5;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Lowest share, as a fraction of an equal share, so that an idle entry can admit the first requests of a burst. */
    private static final double MIN_FRACTION_OF_EQUAL_SHARE = 0.1;

    private final TimeSource time;
    private final Map<String, State> states = new ConcurrentHashMap<>();
    private volatile int knownEntries = 1;

    /** Creates a client that assumes no other entry. */
    public QuotaClient(TimeSource time) {
        this.time = time;
    }

    @Override
    public double shareForArrival(Contract contract) {
        State state = state(contract);
        state.arrivals.increment();
        return rate(contract, state);
    }

    /** Sets the number of entries known to the agents, by which rates are divided while no coordinator answers. */
    public void setEntryCount(int entries) {
        knownEntries = Math.max(1, entries);
    }

    /** Stores the shares assigned by a coordinator. */
    public void applyShares(List<WorkspaceShare> shares) {
        long now = time.nanoTime();
        for (WorkspaceShare share : shares) {
            State state = states.get(share.workspace());
            if (state != null) {
                state.granted = new Grant(share.perSecond(), now);
            }
        }
    }

    /**
     * Measures the demand since the last call and groups the active workspaces by their coordinator.
     *
     * @param agents names of the agents with a usable link
     * @return demands by the name of the coordinating agent
     */
    public Map<String, List<WorkspaceDemand>> collectDemands(Collection<String> agents) {
        Map<String, List<WorkspaceDemand>> byAgent = new HashMap<>();
        long now = time.nanoTime();
        for (Map.Entry<String, State> entry : states.entrySet()) {
            State state = entry.getValue();
            double demand = state.measure(now);
            Optional<String> coordinator = coordinator(entry.getKey(), agents);
            if (coordinator.isPresent() && demand > 0) {
                byAgent.computeIfAbsent(coordinator.get(), _name -> new ArrayList<>())
                        .add(new WorkspaceDemand(entry.getKey(), demand, state.limit));
            }
        }
        return byAgent;
    }

    /** Returns the agent that coordinates a workspace, empty if there is no agent. */
    static Optional<String> coordinator(String workspace, Collection<String> agents) {
        long key = RendezvousHashing.key(workspace);
        return agents.stream().max(Comparator.comparingLong(agent -> RendezvousHashing.weight(key, agent)));
    }

    private double rate(Contract contract, State state) {
        double equalShare = contract.requestsPerSecond() / knownEntries;
        Grant grant = state.granted;
        if (grant == null || time.nanoTime() - grant.atNanos() > SHARE_LIFETIME_NANOS) {
            return equalShare;
        }
        return Math.min(
                contract.requestsPerSecond(), Math.max(grant.perSecond(), equalShare * MIN_FRACTION_OF_EQUAL_SHARE));
    }

    private State state(Contract contract) {
        State state = states.computeIfAbsent(contract.workspace(), _name -> new State(time.nanoTime()));
        state.limit = contract.requestsPerSecond();
        return state;
    }

    private record Grant(double perSecond, long atNanos) {}

    private static final class State {

        private final LongAdder arrivals = new LongAdder();
        private volatile double limit = 1;
        private volatile @Nullable Grant granted;
        private double demand;
        private long measuredNanos;

        State(long now) {
            measuredNanos = now;
        }

        synchronized double measure(long now) {
            double seconds = Math.max(1, now - measuredNanos) / NANOS_PER_SECOND;
            double arrivalRate = arrivals.sumThenReset() / seconds;
            demand = arrivalRate > demand ? arrivalRate : demand + DEMAND_SMOOTHING * (arrivalRate - demand);
            measuredNanos = now;
            return demand;
        }
    }
}
