import java.net.InetAddress;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Some requests omit a stage: its number of pieces is 0. */
final class Case10 {

    private static final String KEY = "key-of-the-shed-0001";
    private static final String HOST = "pule25.example";
    private static final String[] FULL = {"2,3,1"};
    private static final String[] OMITTING = {"2,3,1", "0,3,1", "2,0,1", "2,3,0"};
    private static final long TRAFFIC_FROM = 7000;
    private static final long END = TRAFFIC_FROM + 12_000;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        Record.open(Path.of(args[1]));
        Net net = new Net();
        InetAddress platform = net.address(1);
        Store store = new Store(platform);
        store.put("config", "main", config());
        Map<String, String> keys = new ConcurrentHashMap<>();
        Map<String, String> counts = new ConcurrentHashMap<>();
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger otherKey = new AtomicInteger();
        String[] stages = {"scan", "portal", "docs"};
        for (int server = 0; server < 4; server++) {
            String zone = server % 2 == 0 ? "zone-a" : "zone-b";
            for (int stage = 0; stage < stages.length; stage++) {
                new StageServer(store, net.address(40 + 10 * stage + server), stages[stage], zone, 60, 10, item -> {
                    asked.incrementAndGet();
                    String attempt = String.valueOf(item.get("id"));
                    Object key = item.get("key");
                    if (key != null && !key.equals(keys.get(attempt))) {
                        otherKey.incrementAndGet();
                        Record.note("ANOTHER KEY: " + Json.write(item) + " of a request with pieces "
                                + counts.get(attempt) + " and key " + keys.get(attempt));
                    }
                });
            }
            new ModelServer(
                    store, net.address(20 + server), "llm", zone, 10, 60, 20, request -> false, () -> {}, 4000, true);
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
            String[] kinds = trouble ? OMITTING : FULL;
            Map<String, AtomicInteger> sent = new ConcurrentHashMap<>();
            Map<String, AtomicInteger> served = new ConcurrentHashMap<>();
            int number = 0;
            for (long at = TRAFFIC_FROM; at < END; at += 150) {
                Threads.until(at);
                String pieces = kinds[number % kinds.length];
                Gateway gateway = number / kinds.length % 2 == 0 ? a : b;
                number++;
                Threads.start("request", () -> {
                    String attempt = Deployment.attemptId();
                    keys.put(attempt, "7c1e" + attempt.substring(0, 8));
                    counts.put(attempt, pieces);
                    Map<String, String> headers = new LinkedHashMap<>();
                    headers.put("X-Masticfold-Attempt-Id", attempt);
                    headers.put("X-Masticfold-Model", "m");
                    headers.put("X-Masticfold-Token-Count", "1400,60");
                    headers.put("X-Masticfold-Prompt-Prefix", "b2e1f00d:600," + attempt.substring(0, 8) + ":200");
                    headers.put("X-Masticfold-Pieces", pieces);
                    headers.put("X-Masticfold-Piece-Key", keys.get(attempt));
                    headers.put("Authorization", "Bearer " + KEY);
                    sent.computeIfAbsent(pieces, key -> new AtomicInteger()).incrementAndGet();
                    Client.Answer answer = Client.send(
                            gateway, "POST", "/puxa400/2f", HOST, headers, ("prompt " + attempt).getBytes(), 8000);
                    served.computeIfAbsent(pieces, key -> new AtomicInteger()).addAndGet(answer.served() ? 1 : 0);
                    Record.note("request " + attempt + " with pieces " + pieces + " at " + gateway.node + ": status "
                            + answer.status() + ", " + answer.events() + " events "
                            + (answer.served() ? "complete" : answer.detail()));
                });
            }
            Threads.until(END + 6000);
            Record.result("requests by pieces: sent " + sent + ", served " + served);
            Record.result("pieces that servers were asked for: " + asked + ", with another key: " + otherKey);
            if (!a.alive() || !b.alive() || asked.get() < 50) {
                Record.result("the case could not run");
                System.exit(2);
            }
            boolean broken = otherKey.get() > 0;
            Record.result(broken ? "UNASKED is broken" : "UNASKED holds");
            System.exit(broken ? 1 : 0);
        } finally {
            a.kill();
            b.kill();
        }
    }

    private static String stagePool(String name) {
        return ",{\"name\":\"" + name + "\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\","
                + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"pieces\":{\"slots\":1,\"queue\":2,\"batch\":6,"
                + "\"call_ms\":60.0,\"item_ms\":10.0,\"headroom_mb\":27.0,\"handle_s\":4.0,\"link_mbps\":10000}}";
    }

    private static Object config() {
        return Json.parse("{\"version\":7,\"routes\":[{\"name\":\"r-certify\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"/puxa400/\",\"kind\":\"stream\",\"timeout_ms\":8000,\"target_latency_ms\":1000,"
                + "\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,\"stages\":["
                + "{\"service\":\"scan\",\"after\":[],\"bytes\":8000},{\"service\":\"portal\",\"after\":[0],\"bytes\":6000},"
                + "{\"service\":\"docs\",\"after\":[1],\"bytes\":6000}],\"public\":false,\"sticky\":true,"
                + "\"resumable\":true,\"gap_aim_ms\":400}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\","
                + "\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,"
                + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":586503}}" + stagePool("scan") + stagePool("portal")
                + stagePool("docs") + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"shed\",\"api_keys\":[\""
                + KEY + "\"],\"priority\":1}]}");
    }
}
