import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/** A stage server: works on one call at a time, keeps the results, and may turn one call away with Retry-After. */
final class StageServer {

    private static final int QUEUE = 2;
    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private final String id;
    private final String address;
    private final long callMillis;
    private final long itemMillis;
    private final Consumer<Map<String, Object>> onItem;
    private final Semaphore turn = new Semaphore(1, true);
    private final AtomicInteger calls = new AtomicInteger();
    private final AtomicLong handles = new AtomicLong();
    private final Set<String> results = ConcurrentHashMap.newKeySet();
    private volatile int retryAfterSeconds;
    final AtomicInteger ended = new AtomicInteger();

    StageServer(Store store, InetAddress ip, String service, String zone, long callMillis, long itemMillis)
            throws IOException {
        this(store, ip, service, zone, callMillis, itemMillis, item -> {});
    }

    /**
     * Starts a server.
     *
     * @param onItem told each piece that the server is asked for
     */
    StageServer(
            Store store,
            InetAddress ip,
            String service,
            String zone,
            long callMillis,
            long itemMillis,
            Consumer<Map<String, Object>> onItem)
            throws IOException {
        this.onItem = onItem;
        this.callMillis = callMillis;
        this.itemMillis = itemMillis;
        this.id = "i-" + service + "-" + NUMBERS.incrementAndGet();
        Http.Server server = new Http.Server(ip, 0, this::serve);
        this.address = ip.getHostAddress() + ":" + server.port();
        new Registration(store, id, service, address, zone, "v1", 1);
    }

    String id() {
        return id;
    }

    /** Turns the next call away and asks its caller to send nothing for some time. */
    void turnNextCallAway(int seconds) {
        retryAfterSeconds = seconds;
    }

    private boolean serve(Http.Message request, Http.Connection connection) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Content-Type", "application/json");
        String expected = request.header("x-masticfold-target-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            headers.put("X-Masticfold-Instance-Id", id);
            Http.write(connection.out, "HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
            return true;
        }
        switch (request.uri()) {
            case "/-/report", "/health" -> {
                int here = calls.get();
                answer(connection, 200, headers, Map.of("waiting", Math.max(0, here - 1), "busy", here > 0, "free_mb", 20));
            }
            case "/-/stage-free" -> {
                Json.array(Json.object(Json.parse(request.text())).get("handles")).forEach(results::remove);
                answer(connection, 200, headers, Map.of());
            }
            case "/-/stage-run" -> run(request, connection, headers);
            default -> answer(connection, 404, headers, Map.of());
        }
        return true;
    }

    private void run(Http.Message request, Http.Connection connection, Map<String, String> headers) throws IOException {
        List<Object> items = Json.array(Json.object(Json.parse(request.text())).get("items"));
        items.forEach(item -> onItem.accept(Json.object(item)));
        int pause = retryAfterSeconds;
        if (pause > 0) {
            retryAfterSeconds = 0;
            Record.note(id + " turns a call of " + items.size() + " pieces away: 503, Retry-After " + pause);
            headers.put("X-Masticfold-Not-Executed", "1");
            headers.put("Retry-After", Integer.toString(pause));
            answer(connection, 503, headers, Map.of());
            return;
        }
        if (calls.incrementAndGet() > 1 + QUEUE) {
            calls.decrementAndGet();
            headers.put("X-Masticfold-Not-Executed", "1");
            answer(connection, 503, headers, Map.of());
            return;
        }
        turn.acquireUninterruptibly();
        List<Object> outcomes = new ArrayList<>();
        try {
            Threads.sleep(callMillis + itemMillis * items.size());
            for (int item = 0; item < items.size(); item++) {
                String handle = address + "/" + Long.toHexString(0x5c1e0000L + handles.incrementAndGet());
                results.add(handle);
                outcomes.add(Map.of("handle", handle));
            }
            ended.incrementAndGet();
            Record.note(id + " has made " + items.size() + " pieces");
        } finally {
            turn.release();
            calls.decrementAndGet();
        }
        headers.put("X-Masticfold-Server-Load", calls.get() + ",0,1");
        answer(connection, 200, headers, Map.of("items", outcomes));
    }

    private static void answer(Http.Connection connection, int status, Map<String, String> headers, Object body)
            throws IOException {
        Http.write(
                connection.out,
                "HTTP/1.1 " + status + " X",
                headers,
                Json.write(body).getBytes(StandardCharsets.UTF_8));
    }
}
