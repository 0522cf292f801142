import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** Settings of a small deployment, as the sheet of vrs-suva has them. */
final class Deployment {

    static final Map<String, String> BOUNDS = Map.ofEntries(
            Map.entry("grace_s", "8"),
            Map.entry("drain_ms", "2000"),
            Map.entry("retry_budget_ratio", "0.2"),
            Map.entry("budget_extra", "54"),
            Map.entry("budget_window_s", "10"),
            Map.entry("cold_over", "1.5"),
            Map.entry("cold_slack", "5"));

    private static final AtomicLong ATTEMPTS = new AtomicLong();

    private Deployment() {}

    static String attemptId() {
        return String.format("%016x", ATTEMPTS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }
}
