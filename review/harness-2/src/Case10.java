import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.atomic.AtomicInteger;

/** Model servers crash one after the other; each is back under its id, with another software version. */
final class Case10 {

    private static final String KEY = "key-of-the-shed-0001";
    private static final String HOST = "pule25.example";
    private static final int SERVERS = 8;
    private static final int RESTARTS = 6;
    private static final long DOWN_MILLIS = 1000;
    /** A server that is back writes its entry with its first heartbeat. */
    private static final long REGISTERS_AFTER_MILLIS = Registration.HEARTBEAT_MILLIS;
    private static final long BETWEEN_CRASHES_MILLIS = 1900;
    private static final long TRAFFIC_FROM = 7000;
    private static final long FIRST_CRASH = TRAFFIC_FROM + 5000;
    private static final long TRAFFIC_UNTIL = FIRST_CRASH + SERVERS * BETWEEN_CRASHES_MILLIS + 2000;
    private static final long DEADLINE_MILLIS = 8000;
    /** More streams than these must not hold events of two versions. */
    private static final int ALLOWED = 2;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        Record.open(Path.of(args[1]));
        Net net = new Net();
        InetAddress platform = net.address(1);
        Store store = new Store(platform);
        store.put("config", "main", config());
        List<VersionedServer> servers = new ArrayList<>();
        for (int server = 0; server < SERVERS; server++) {
            String zone = server % 2 == 0 ? "zone-a" : "zone-b";
            servers.add(new VersionedServer(store, net.address(20 + server), "i-llm-" + server, zone, "v1"));
        }
        InetAddress ipA = net.address(11);
        InetAddress ipB = net.address(12);
        int peerPort = Gateway.freePort(ipA);
        List<String> seeds = List.of(ipA.getHostAddress() + ":1", ipB.getHostAddress() + ":1");
        String storeAddress = platform.getHostAddress() + ":" + store.server.port();
        Gateway a = Gateway.start("front-a", "zone-a", ipA, peerPort, seeds, storeAddress, Deployment.BOUNDS, folder);
        Gateway b = Gateway.start("front-b", "zone-b", ipB, peerPort, seeds, storeAddress, Deployment.BOUNDS, folder);
        try {
            if (!a.awaitReady(6000) || !b.awaitReady(6000)) {
                Record.result("the gateways are not ready");
                System.exit(2);
            }
            AtomicInteger streams = new AtomicInteger();
            AtomicInteger whole = new AtomicInteger();
            AtomicInteger mixed = new AtomicInteger();
            Threads.start("traffic", () -> {
                int number = 0;
                for (long at = TRAFFIC_FROM; at < TRAFFIC_UNTIL; at += 50) {
                    Threads.until(at);
                    Gateway gateway = number++ % 2 == 0 ? a : b;
                    Threads.start("stream", () -> {
                        streams.incrementAndGet();
                        Set<String> versions = new TreeSet<>();
                        whole.addAndGet(stream(gateway, versions) ? 1 : 0);
                        mixed.addAndGet(versions.size() > 1 ? 1 : 0);
                    });
                }
            });
            for (int restart = 0; trouble && restart < RESTARTS; restart++) {
                Threads.until(FIRST_CRASH + restart * BETWEEN_CRASHES_MILLIS);
                servers.get(restart).restart("v2", DOWN_MILLIS, REGISTERS_AFTER_MILLIS);
            }
            Threads.until(TRAFFIC_UNTIL + DEADLINE_MILLIS + 500);
            Record.result("streams: " + streams + ", whole: " + whole + ", with events of two software versions: " + mixed);
            if (!a.alive() || !b.alive() || streams.get() < 300) {
                Record.result("the case could not run");
                System.exit(2);
            }
            boolean broken = mixed.get() > ALLOWED;
            Record.result(broken ? "ORDER is broken" : "ORDER holds");
            System.exit(broken ? 1 : 0);
        } finally {
            a.kill();
            b.kill();
        }
    }

    /** Reads one stream; returns whether it was whole. */
    private static boolean stream(Gateway gateway, Set<String> versions) {
        String attempt = Deployment.attemptId();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", HOST);
        headers.put("X-Masticfold-Attempt-Id", attempt);
        headers.put("X-Masticfold-Model", "m");
        headers.put("X-Masticfold-Token-Count", "1400,60");
        headers.put("X-Masticfold-Prompt-Prefix", "b2e1f00d:600," + attempt.substring(0, 8) + ":200");
        headers.put("X-Masticfold-Deadline-Ms", Long.toString(DEADLINE_MILLIS));
        headers.put("Authorization", "Bearer " + KEY);
        StringBuilder text = new StringBuilder();
        boolean complete = false;
        int status = 0;
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.ip, gateway.front), 1000);
            socket.setSoTimeout((int) DEADLINE_MILLIS + 500);
            Http.write(socket.getOutputStream(), "POST /puxa400/2f HTTP/1.1", headers, "prompt".getBytes());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message head = Http.head(in);
            status = head.status();
            if (status == 200) {
                for (int size = Http.chunkSize(in); size > 0; size = Http.chunkSize(in)) {
                    text.append(new String(Http.exactly(in, size), StandardCharsets.UTF_8));
                    Http.line(in);
                }
                complete = true;
            }
        } catch (IOException e) {
            Record.note("stream " + attempt + " at " + gateway.node + " breaks off: " + e.getMessage());
        }
        StringBuilder order = new StringBuilder();
        for (String line : text.toString().split("\n")) {
            if (line.startsWith("data: token of ")) {
                String version = line.substring("data: token of ".length());
                versions.add(version);
                order.append(version).append(' ');
            }
        }
        Record.note("stream " + attempt + " at " + gateway.node + ": status " + status + (complete ? ", whole" : "")
                + (versions.size() > 1 ? ", EVENTS OF TWO VERSIONS: " + order : ""));
        return complete;
    }

    private static Object config() {
        return Json.parse("{\"version\":7,\"routes\":[{\"name\":\"r-certify\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"/puxa400/\",\"kind\":\"stream\",\"timeout_ms\":8000,\"target_latency_ms\":1000,"
                + "\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,\"public\":false,\"sticky\":true,"
                + "\"resumable\":true,\"gap_aim_ms\":400}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\","
                + "\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,"
                + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":586503}}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
                + "{\"name\":\"shed\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1}]}");
    }
}
