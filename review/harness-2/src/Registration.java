import java.util.LinkedHashMap;
import java.util.Map;

/** The entry of one incarnation of a server in the store, renewed at each heartbeat while the server lives. */
final class Registration {

    static final long HEARTBEAT_MILLIS = 1200;

    private final Store store;
    final String id;
    private final Map<String, Object> spec = new LinkedHashMap<>();
    private volatile boolean ended;
    private long seq;

    Registration(Store store, String id, String service, String address, String zone, String version, int slots) {
        this.store = store;
        this.id = id;
        spec.put("service", service);
        spec.put("address", address);
        spec.put("zone", zone);
        spec.put("version", version);
        spec.put("slots", slots);
        spec.put("state", "ready");
        spec.put("cold_remaining_ms", 0);
        spec.put("born", System.currentTimeMillis());
        Threads.start("heartbeat " + id, () -> {
            while (!ended) {
                beat();
                Threads.sleep(HEARTBEAT_MILLIS);
            }
        });
    }

    private synchronized void beat() {
        if (!ended) {
            spec.put("seq", ++seq);
            // The entry changes only when more than the number of the heartbeat does.
            if (seq == 1) {
                store.put("servers", id, new LinkedHashMap<>(spec));
            }
        }
    }

    /** Removes the entry now. */
    synchronized void remove() {
        ended = true;
        store.delete("servers", id);
    }

    /** Stops the heartbeats; the store removes the entry after three of their intervals. */
    synchronized void fallSilent() {
        ended = true;
        Threads.start("expiry " + id, () -> {
            Threads.sleep(3 * HEARTBEAT_MILLIS);
            store.delete("servers", id);
        });
    }
}
