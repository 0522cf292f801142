package io.masticfold.core.limit;

import io.masticfold.core.attempt.Incarnation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Divides a rate by max-min fairness: no entry exceeds its demand while the demand of another is not met. */
final class ShareAllocator {

    private ShareAllocator() {}

    /**
     * Divides a rate among entries. The surplus over all demands is divided equally, so that an entry whose traffic
     * grows between two reports does not refuse requests immediately.
     *
     * @param limit rate to divide, in requests per second
     * @param demand demand of each entry, in requests per second
     * @return the share of each entry; the shares add up to the limit unless there is no entry
     */
    static Map<Incarnation, Double> divide(double limit, Map<Incarnation, Double> demand) {
        Map<Incarnation, Double> shares = new HashMap<>();
        List<Map.Entry<Incarnation, Double>> ascending = demand.entrySet().stream()
                .sorted(Map.Entry.<Incarnation, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .toList();
        double remaining = limit;
        int unserved = ascending.size();
        for (Map.Entry<Incarnation, Double> entry : ascending) {
            double share = Math.min(entry.getValue(), remaining / unserved);
            shares.put(entry.getKey(), share);
            remaining -= share;
            unserved--;
        }
        double surplus = Math.max(0, remaining) / Math.max(1, shares.size());
        shares.replaceAll((_entry, share) -> share + surplus);
        return shares;
    }
}
