package io.masticfold.core.limit;

import io.masticfold.core.attempt.Incarnation;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Divides a rate among entries by max-min fairness: no entry gets more than it asks for while another goes short. */
final class ShareAllocator {

    private ShareAllocator() {}

    /**
     * Divides a rate. What remains after all demands are met is divided evenly, so that an entry whose traffic grows
     * between two reports is not refused at once.
     *
     * @param limit rate to divide, in requests per second
     * @param demand demand of each entry, in requests per second
     * @return the share of each entry; the sum is the limit unless there is no entry
     */
    static Map<Incarnation, Double> divide(double limit, Map<Incarnation, Double> demand) {
        Map<Incarnation, Double> shares = new HashMap<>();
        List<Map.Entry<Incarnation, Double>> ascending = demand.entrySet().stream()
                .sorted(Map.Entry.<Incarnation, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
                .toList();
        double left = limit;
        int waiting = ascending.size();
        for (Map.Entry<Incarnation, Double> entry : ascending) {
            double share = Math.min(entry.getValue(), left / waiting);
            shares.put(entry.getKey(), share);
            left -= share;
            waiting--;
        }
        double surplus = Math.max(0, left) / Math.max(1, shares.size());
        shares.replaceAll((_entry, share) -> share + surplus);
        return shares;
    }
}
