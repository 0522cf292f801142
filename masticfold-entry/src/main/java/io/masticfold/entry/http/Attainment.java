package io.masticfold.entry.http;

import io.masticfold.core.model.Contract;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/**
 * Measures service level attainment by contract: counts all responses, and those that were successful and within the
 * response time window of the contract. Thread-safe.
 */
public final class Attainment {

    private final Map<String, Counts> byContract = new ConcurrentHashMap<>();

    /** Records the response to an admitted request. */
    public void recordResponse(Contract contract, boolean inWindow) {
        Counts counts = counts(contract);
        counts.answered.increment();
        if (inWindow) {
            counts.inWindow.increment();
        }
    }

    /** Records a request that was denied admission, which counts as a response outside the window. */
    public void recordRefusal(Contract contract) {
        recordResponse(contract, false);
    }

    /** Returns a report for each contract that has received requests, sorted by contract name. */
    public List<Report> reports() {
        return byContract.entrySet().stream()
                .map(entry -> new Report(
                        entry.getKey(),
                        entry.getValue().answered.sum(),
                        entry.getValue().inWindow.sum()))
                .sorted(Comparator.comparing(Report::contract))
                .toList();
    }

    private Counts counts(Contract contract) {
        return byContract.computeIfAbsent(contract.name(), _name -> new Counts());
    }

    /**
     * Attainment of a single contract since the entry started.
     *
     * @param contract name of the contract
     * @param answered number of responses
     * @param inWindow number of successful responses within the window
     */
    public record Report(String contract, long answered, long inWindow) {

        /** Returns the fraction of successful responses within the window, or 1 if there were no requests. */
        public double attainment() {
            return answered == 0 ? 1 : inWindow / (double) answered;
        }
    }

    private static final class Counts {
        private final LongAdder answered = new LongAdder();
        private final LongAdder inWindow = new LongAdder();
    }
}
