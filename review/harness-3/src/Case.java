import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A small deployment for one case: the store, gateways and a record of what was seen. */
abstract class Case {
    static final String KEY = "key-1";
    static final String TENANT = "tenant-1";
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Store store = new Store(Loopback.ip(2));
    final List<Gateway> gateways = new ArrayList<>();
    Path folder;
    private PrintStream record;
    private final long started = System.nanoTime();
    private static final AtomicLong ATTEMPTS = new AtomicLong(System.nanoTime());

    /** Runs the case; returns whether the rule was broken. */
    abstract boolean run() throws Exception;

    static void main(Case instance, String[] arguments) {
        int code = 2;
        Runtime.getRuntime().addShutdownHook(new Thread(Gateway::endAll));
        Thread limit = new Thread(() -> {
            try {
                Thread.sleep(115_000);
            } catch (InterruptedException e) {
                return;
            }
            Gateway.endAll();
            Runtime.getRuntime().halt(2);
        });
        limit.setDaemon(true);
        limit.start();
        try {
            instance.folder = Path.of(arguments[1]);
            instance.record = new PrintStream(
                    new BufferedOutputStream(Files.newOutputStream(Path.of(arguments[0]))), false, StandardCharsets.UTF_8);
            instance.store.open();
            code = instance.run() ? 1 : 0;
            instance.log("rule " + (code == 1 ? "BROKEN" : "held") + (instance.trouble ? "" : " (TROUBLE=0)"));
        } catch (Exception e) {
            if (instance.record != null) {
                e.printStackTrace(instance.record);
            }
            e.printStackTrace();
        } finally {
            Gateway.endAll();
        }
        if (instance.record != null) {
            instance.record.close();
        }
        Runtime.getRuntime().halt(code);
    }

    /** Writes a line to the record and to the standard output. */
    synchronized void log(String text) {
        System.out.println(note(text));
    }

    /** Writes a line to the record: what was sent, answered or run. */
    synchronized String note(String text) {
        String line = String.format("%8.3f %s", (System.nanoTime() - started) / 1e9, text);
        record.println(line);
        return line;
    }

    void startGateways(int count) throws Exception {
        int peerPort = Gateway.freePort(Loopback.ip(11));
        List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            Gateway gateway = new Gateway(folder, i, peerPort, "z" + i);
            gateways.add(gateway);
            seeds.add(gateway.ip);
        }
        for (Gateway gateway : gateways) {
            gateway.start(store.address(), seeds.subList(0, Math.min(3, seeds.size())));
        }
        for (Gateway gateway : gateways) {
            gateway.awaitReady();
        }
        log(count + " gateways are ready");
    }

    static String attempt() {
        return String.format("%016x", ATTEMPTS.incrementAndGet());
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put((String) pairs[i], pairs[i + 1]);
        }
        return map;
    }

    /** Writes a configuration with one host, "a.example", whose routes and services are given. */
    void configure(int version, List<Map<String, Object>> routes, List<Map<String, Object>> services) {
        store.put(
                "config",
                "main",
                map(
                        "version", version,
                        "routes", routes,
                        "services", services,
                        "limits",
                        map(
                                "max_header_bytes", 16384,
                                "max_body_bytes", 4194304,
                                "header_timeout_ms", 3000,
                                "idle_timeout_ms", 15000),
                        "tenants", List.of(map("name", TENANT, "api_keys", List.of(KEY), "priority", 1))));
    }

    static Map<String, Object> route(String name, String kind, String service, int timeoutMillis, int attempts) {
        Map<String, Object> route = map(
                "name", name,
                "host", "a.example",
                "path_prefix", "/" + name + "/",
                "kind", kind,
                "timeout_ms", timeoutMillis,
                "target_latency_ms", Math.min(1700, timeoutMillis),
                "priority", 0,
                "service", service,
                "max_attempts", attempts,
                "stages", List.of(),
                "public", false,
                "sticky", false);
        if (kind.equals("stream")) {
            route.put("resumable", true);
            route.put("gap_aim_ms", 400);
            route.put("sticky", true);
        }
        return route;
    }

    static Map<String, Object> service(String name) {
        return map(
                "name", name,
                "health_path", "/health",
                "max_connections", 360,
                "protocol", "h1",
                "tls", false,
                "cold_start_s", 0.0,
                "cold_per_s", 0.0);
    }

    static String head(String method, String path, String attempt, int deadlineMillis) {
        return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nX-Masticfold-Attempt-Id: " + attempt
                + "\r\nX-Masticfold-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Bearer " + KEY + "\r\n";
    }

    /** Sends a request on a new connection and reads its answer; null if there was none. */
    static Message call(Gateway gateway, String request, int waitMillis) {
        try (Socket socket = gateway.connect()) {
            socket.setSoTimeout(waitMillis);
            Listener.write(socket, request);
            return Message.readResponse(socket.getInputStream());
        } catch (IOException e) {
            return null;
        }
    }
}
