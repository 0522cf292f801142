import java.net.InetAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** One stage server of four turns one call away with 503 and Retry-After; the other three stay sound. */
final class Case7 {

    private static final String KEY = "key-of-the-shed-0001";
    private static final String HOST = "pule25.example";
    private static final int RETRY_AFTER_SECONDS = 120;
    private static final long TRAFFIC_FROM = 7000;
    private static final long TROUBLE_AT = TRAFFIC_FROM + 4000;
    private static final long END = TRAFFIC_FROM + 75_000;
    private static final int GROUP = 10;
    private static final int PIECES = 4;

    private static final class Count {
        final AtomicInteger asked = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();
        final AtomicInteger askedLater = new AtomicInteger();
        final AtomicInteger servedLater = new AtomicInteger();

        void add(long sentMillis, boolean wasServed) {
            asked.incrementAndGet();
            served.addAndGet(wasServed ? 1 : 0);
            if (sentMillis > TROUBLE_AT + 1000) {
                askedLater.incrementAndGet();
                servedLater.addAndGet(wasServed ? 1 : 0);
            }
        }

        String text() {
            return served + " of " + asked + " served, after the 503: " + servedLater + " of " + askedLater;
        }
    }

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        Record.open(Path.of(args[1]));
        Net net = new Net();
        InetAddress platform = net.address(1);
        Store store = new Store(platform);
        store.put("config", "main", config());
        List<StageServer> stage = new ArrayList<>();
        for (int server = 0; server < 4; server++) {
            String zone = server % 2 == 0 ? "zone-a" : "zone-b";
            stage.add(new StageServer(store, net.address(40 + server), "scan", zone, 150, 21));
            new ModelServer(
                    store, net.address(20 + server), "llm", zone, 10, 60, 20, request -> false, () -> {}, 4000);
            new AppServer(store, net.address(30 + server), "ledger", zone, 30, (id, attempt) -> {});
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
            System.exit(play(trouble, a, b, stage));
        } finally {
            a.kill();
            b.kill();
        }
    }

    private static int play(boolean trouble, Gateway a, Gateway b, List<StageServer> stage) {
        Count staged = new Count();
        Count plain = new Count();
        Threads.start("staged", () -> {
            // A group each second, half of it at each gateway.
            for (long at = TRAFFIC_FROM; at < END; at += 1000) {
                Threads.until(at);
                for (int request = 0; request < GROUP; request++) {
                    Gateway gateway = request % 2 == 0 ? a : b;
                    long sentAt = at;
                    Threads.start("staged", () -> staged.add(sentAt, sendStaged(gateway)));
                }
            }
        });
        Threads.start("plain", () -> {
            for (long at = TRAFFIC_FROM; at < END; at += 100) {
                Threads.until(at);
                Gateway gateway = at % 200 == 0 ? a : b;
                long sentAt = at;
                Threads.start("plain", () -> plain.add(sentAt, sendPlain(gateway)));
            }
        });
        if (trouble) {
            Threads.until(TROUBLE_AT);
            stage.get(0).turnNextCallAway(RETRY_AFTER_SECONDS);
        }
        Threads.until(END);
        int callsOfSound = 0;
        for (StageServer server : stage) {
            Record.result(server.id() + " has ended " + server.ended + " calls");
            callsOfSound += server == stage.get(0) ? 0 : server.ended.get();
        }
        Threads.until(END + 8500);
        Record.result("requests with a stage: " + staged.text());
        Record.result("plain requests: " + plain.text());
        int asked = staged.asked.get() + plain.asked.get();
        int served = staged.served.get() + plain.served.get();
        if (!a.alive() || !b.alive() || asked < 500 || callsOfSound == 0) {
            Record.result("the case could not run");
            return 2;
        }
        double kind = (double) staged.served.get() / staged.asked.get();
        double all = (double) served / asked;
        Record.result(String.format("served: %.3f of the kind, %.3f of all requests", kind, all));
        boolean broken = kind < all / 4;
        Record.result(broken ? "Starved: the kind is served less than a quarter as often as all" : "the rule holds");
        return broken ? 1 : 0;
    }

    private static boolean sendStaged(Gateway gateway) {
        String attempt = Deployment.attemptId();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Masticfold-Attempt-Id", attempt);
        headers.put("X-Masticfold-Model", "m");
        headers.put("X-Masticfold-Token-Count", "1400,60");
        headers.put("X-Masticfold-Prompt-Prefix", "b2e1f00d:600," + attempt.substring(0, 8) + ":200");
        headers.put("X-Masticfold-Pieces", Integer.toString(PIECES));
        headers.put("X-Masticfold-Piece-Key", "7c1e07a291bd");
        headers.put("Authorization", "Bearer " + KEY);
        Client.Answer answer = Client.send(
                gateway, "POST", "/puxa400/2f", HOST, headers, ("prompt " + attempt).getBytes(), 8000);
        Record.note("staged " + attempt + " at " + gateway.node + ": status " + answer.status() + ", "
                + answer.events() + " events" + (answer.served() ? ", complete" : ", " + answer.detail()));
        return answer.served();
    }

    private static boolean sendPlain(Gateway gateway) {
        String attempt = Deployment.attemptId();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Masticfold-Attempt-Id", attempt);
        headers.put("Authorization", "Bearer " + KEY);
        Client.Answer answer =
                Client.send(gateway, "GET", "/wuhu344/" + attempt, HOST, headers, null, 1500);
        Record.note("plain " + attempt + " at " + gateway.node + ": status " + answer.status() + answer.detail());
        return answer.served();
    }

    private static Object config() {
        return Json.parse("{\"version\":7,\"routes\":[{\"name\":\"r-certify\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"/puxa400/\",\"kind\":\"stream\",\"timeout_ms\":8000,\"target_latency_ms\":1000,"
                + "\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,\"stages\":[{\"service\":\"scan\",\"after\":[],"
                + "\"bytes\":30000}],\"public\":false,\"sticky\":true,\"resumable\":true,\"gap_aim_ms\":400},"
                + "{\"name\":\"r-read\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/wuhu344/\",\"kind\":\"safe\","
                + "\"timeout_ms\":1500,\"target_latency_ms\":193,\"priority\":2,\"service\":\"ledger\","
                + "\"max_attempts\":2,\"public\":false,\"sticky\":false}],"
                + "\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\","
                + "\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"engine\":{\"slots\":64,"
                + "\"kv_capacity_tokens\":586503}},{\"name\":\"scan\",\"health_path\":\"/health\",\"max_connections\":360,"
                + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"pieces\":{\"slots\":1,"
                + "\"queue\":2,\"batch\":6,\"call_ms\":150.0,\"item_ms\":21.3,\"headroom_mb\":27.0,\"handle_s\":4.0,"
                + "\"link_mbps\":10000}},{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_connections\":100,"
                + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"shed\",\"api_keys\":[\"" + KEY
                + "\"],\"priority\":1}]}");
    }
}
