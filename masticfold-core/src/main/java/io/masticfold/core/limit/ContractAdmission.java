package io.masticfold.core.limit;

import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Admits requests within the rate and concurrency limits of their contract. */
public final class ContractAdmission implements RequestAdmission {

    private static final Duration CONCURRENCY_RETRY_AFTER = Duration.ofMillis(250);

    private final TimeSource time;
    private final RateShares shares;
    private final Map<String, Workspace> workspaces = new ConcurrentHashMap<>();

    /**
     * Creates the admission.
     *
     * @param time the time source
     * @param shares supplies this entry's share of the rate of each contract
     */
    public ContractAdmission(TimeSource time, RateShares shares) {
        this.time = time;
        this.shares = shares;
    }

    @Override
    public AdmissionDecision admit(Contract contract, Pipeline _pipeline) {
        Workspace workspace = workspaces.computeIfAbsent(contract.workspace(), _name -> new Workspace(contract));
        workspace.update(contract);
        if (!workspace.tryEnter(contract.maxInFlight())) {
            return new AdmissionDecision.Denied(ErrorKind.WORKSPACE_LIMIT, CONCURRENCY_RETRY_AFTER);
        }
        long waitNanos = workspace.limiter.tryAcquire();
        if (waitNanos > 0) {
            workspace.leave();
            return new AdmissionDecision.Denied(ErrorKind.WORKSPACE_LIMIT, Duration.ofNanos(waitNanos));
        }
        return new AdmissionDecision.Admitted(new Ticket(workspace));
    }

    private final class Workspace {

        private final AtomicInteger inFlight = new AtomicInteger();
        private final RateLimiter limiter;
        private volatile double currentShare;
        private volatile int currentBurst;

        Workspace(Contract contract) {
            currentShare = shares.shareForArrival(contract);
            currentBurst = contract.burst();
            limiter = new RateLimiter(time, currentShare, currentBurst);
        }

        void update(Contract contract) {
            double share = shares.shareForArrival(contract);
            if (share != currentShare || contract.burst() != currentBurst) {
                currentShare = share;
                currentBurst = contract.burst();
                limiter.adjust(share, Math.max(1, contract.burst() * share / contract.requestsPerSecond()));
            }
        }

        boolean tryEnter(int limit) {
            if (inFlight.incrementAndGet() <= limit) {
                return true;
            }
            leave();
            return false;
        }

        void leave() {
            inFlight.decrementAndGet();
        }
    }

    private static final class Ticket implements AdmissionTicket {

        private final Workspace workspace;

        Ticket(Workspace workspace) {
            this.workspace = workspace;
        }

        @Override
        public void completed() {
            workspace.leave();
        }

        @Override
        public void failed(ErrorKind _kind) {
            workspace.leave();
        }
    }
}
