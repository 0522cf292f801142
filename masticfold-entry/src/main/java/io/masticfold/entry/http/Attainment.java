package io.masticfold.entry.http;

import io.masticfold.core.model.Contract;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.LongAdder;

/** Counts answers by contract: all, and those whole and within the agreed window. Safe for use by several threads. */
public final class Attainment {

    private final Map<String, Counts> byContract = new ConcurrentHashMap<>();

    /** Records an answer of an admitted request. */
    public void answered(Contract contract, boolean inWindow) {
        Counts counts = counts(contract);
        counts.answered.increment();
        if (inWindow) {
            counts.inWindow.increment();
        }
    }

    /** Records a request that was refused at the entry; it counts as answered outside its window. */
    public void refused(Contract contract) {
        answered(contract, false);
    }

    /** Returns a report for each contract that had a request, in the order of their names. */
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
     * Reports the answers of one contract since the entry started.
     *
     * @param contract name of the contract
     * @param answered requests answered
     * @param inWindow requests answered whole and within the window
     */
    public record Report(String contract, long answered, long inWindow) {

        /** Returns the share answered within the window, 1 if there was no request. */
        public double attainment() {
            return answered == 0 ? 1 : inWindow / (double) answered;
        }
    }

    private static final class Counts {
        private final LongAdder answered = new LongAdder();
        private final LongAdder inWindow = new LongAdder();
    }
}
