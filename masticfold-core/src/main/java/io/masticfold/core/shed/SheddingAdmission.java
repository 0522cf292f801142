package io.masticfold.core.shed;

import io.masticfold.core.attempt.TargetLoad;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.limit.AdmissionDecision;
import io.masticfold.core.limit.RequestAdmission;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Stage;
import io.masticfold.core.time.TimeSource;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;

/** Sheds requests whose pipeline uses an overloaded pool, after they were admitted within their contract's limits. */
public final class SheddingAdmission implements RequestAdmission, PoolAttemptListener {

    private static final double BASE_RETRY_DELAY_MILLIS = 500;
    private static final long MAX_RETRY_DELAY_MILLIS = 10_000;

    private final RequestAdmission contracts;
    private final ShedSettings settings;
    private final TimeSource time;
    private final RandomGenerator random;
    private final Map<String, PoolShedder> pools = new ConcurrentHashMap<>();

    /**
     * Creates the admission.
     *
     * @param contracts admission by contract limits, applied before shedding
     * @param settings settings of load shedding
     * @param time the time source
     * @param random random source; must be safe for use by several threads
     */
    public SheddingAdmission(
            RequestAdmission contracts, ShedSettings settings, TimeSource time, RandomGenerator random) {
        this.contracts = contracts;
        this.settings = settings;
        this.time = time;
        this.random = random;
    }

    @Override
    public AdmissionDecision admit(Contract contract, Pipeline pipeline) {
        AdmissionDecision decision = contracts.admit(contract, pipeline);
        if (!(decision instanceof AdmissionDecision.Admitted admitted)) {
            return decision;
        }
        double cost = pipeline.cost();
        for (Stage stage : pipeline.stages()) {
            PoolShedder shedder = shedder(stage.pool());
            if (!shedder.admit(contract.worth(), cost)) {
                admitted.ticket().failed(ErrorKind.SHED);
                return new AdmissionDecision.Denied(ErrorKind.SHED, retryAfter(shedder));
            }
        }
        return decision;
    }

    @Override
    public void attemptEnded(String pool, boolean overloaded, TargetLoad load) {
        shedder(pool).attemptEnded(overloaded, load.utilization());
    }

    /** Returns the admitted share of the offered cost of a pool, 1 if nothing is shed. */
    public double admittedShare(String pool) {
        PoolShedder shedder = pools.get(pool);
        return shedder == null ? 1 : shedder.admittedShare();
    }

    /** Returns a delay that grows with the share of shed requests; the jitter keeps callers from retrying in unison. */
    private Duration retryAfter(PoolShedder shedder) {
        double millis = BASE_RETRY_DELAY_MILLIS / shedder.admittedShare() * (1 + random.nextDouble());
        return Duration.ofMillis(Math.min(MAX_RETRY_DELAY_MILLIS, (long) millis));
    }

    private PoolShedder shedder(String pool) {
        return pools.computeIfAbsent(pool, _pool -> new PoolShedder(settings, time, random));
    }
}
