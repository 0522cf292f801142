import java.net.InetAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Full servers reject long requests before they have read them, and read on later; other callers get no answer. */
final class Case9 {

    private static final String KEY = "key-of-the-shed-0001";
    private static final String HOST = "jepu9.example";
    private static final int MIN_BODY_BYTES = 3_900_000;
    private static final int MAX_BODY_BYTES = 4_190_000;
    private static final int EXPORT_BYTES = 3_600_000;
    private static final long EXPORT_TIMEOUT_MILLIS = 1500;
    private static final long EXPORT_DEADLINE_MILLIS = 4000;
    private static final long READS_ON_AFTER_MILLIS = 2500;
    private static final long TRAFFIC_FROM = 7000;
    private static final long LONG_FROM = TRAFFIC_FROM + 5000;
    private static final long LONG_UNTIL = LONG_FROM + 30_000;
    private static final long END = LONG_UNTIL + 10_000;
    private static final long LONG_INTERVAL_MILLIS = 250;

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        Record.open(Path.of(args[1]));
        Net net = new Net();
        InetAddress platform = net.address(1);
        Store store = new Store(platform);
        store.put("config", "main", config());
        Set<String> arrived = ConcurrentHashMap.newKeySet();
        List<EarlyServer> full = new ArrayList<>();
        for (int server = 0; server < 4; server++) {
            String zone = server % 2 == 0 ? "zone-a" : "zone-b";
            full.add(new EarlyServer(store, net.address(40 + server), "docs", zone, trouble, READS_ON_AFTER_MILLIS));
            new AppServer(
                    store, net.address(30 + server), "ledger", zone, 30, (id, attempt) -> arrived.add(attempt), EXPORT_BYTES);
        }
        InetAddress ipA = net.address(11);
        int peerPort = Gateway.freePort(ipA);
        List<String> seeds = List.of(ipA.getHostAddress() + ":1");
        String storeAddress = platform.getHostAddress() + ":" + store.server.port();
        Gateway a = Gateway.start("front-a", "zone-a", ipA, peerPort, seeds, storeAddress, Deployment.BOUNDS, folder);
        try {
            if (!a.awaitReady(6000)) {
                Record.result("the gateway is not ready");
                System.exit(2);
            }
            System.exit(play(a, arrived, full));
        } finally {
            a.kill();
        }
    }

    private static int play(Gateway a, Set<String> arrived, List<EarlyServer> full) {
        AtomicInteger asked = new AtomicInteger();
        AtomicInteger served = new AtomicInteger();
        AtomicInteger otherStatus = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        AtomicInteger unansweredRun = new AtomicInteger();
        AtomicInteger lasted = new AtomicInteger();
        Threads.start("exports", () -> {
            for (long at = TRAFFIC_FROM; at < END; at += 200) {
                Threads.until(at);
                Threads.start("export", () -> {
                    String attempt = Deployment.attemptId();
                    asked.incrementAndGet();
                    long sentAt = Record.millis();
                    Client.Answer answer = Client.send(
                            a, "POST", "/bobo563/" + attempt, HOST, headers(attempt), "export".getBytes(), EXPORT_DEADLINE_MILLIS);
                    long took = Record.millis() - sentAt;
                    lasted.addAndGet(took > EXPORT_TIMEOUT_MILLIS ? 1 : 0);
                    if (answer.served()) {
                        served.incrementAndGet();
                    } else if (answer.complete()) {
                        otherStatus.incrementAndGet();
                        Record.note("export " + attempt + ": status " + answer.status() + " " + answer.detail());
                    } else {
                        unanswered.addAndGet(took > EXPORT_TIMEOUT_MILLIS + 500 ? 1 : 0);
                        boolean ran = arrived.contains(attempt);
                        unansweredRun.addAndGet(ran ? 1 : 0);
                        Record.note("export " + attempt + ": no complete answer after " + took + " ms, status "
                                + answer.status() + ", " + (ran ? "run by a sound server" : "not run") + ": "
                                + answer.detail());
                    }
                });
            }
        });
        AtomicInteger longSent = new AtomicInteger();
        AtomicInteger longRefused = new AtomicInteger();
        Threads.start("long", () -> {
            Random random = new Random(9);
            for (long at = LONG_FROM; at < LONG_UNTIL; at += LONG_INTERVAL_MILLIS) {
                Threads.until(at);
                int size = MIN_BODY_BYTES + random.nextInt(MAX_BODY_BYTES - MIN_BODY_BYTES);
                Threads.start("long request", () -> {
                    String attempt = Deployment.attemptId();
                    longSent.incrementAndGet();
                    Client.Answer answer = Client.send(
                            a, "POST", "/docs12/" + attempt, HOST, headers(attempt), new byte[size], 3000);
                    longRefused.addAndGet(answer.status() == 503 ? 1 : 0);
                    Record.note("long request " + attempt + " of " + size + " bytes: status " + answer.status() + " "
                            + answer.detail());
                });
            }
        });
        boolean alive = true;
        while (Record.millis() < END + 4000 && alive) {
            Threads.sleep(200);
            alive = a.alive();
        }
        int rejected = full.stream().mapToInt(server -> server.rejected.get()).sum();
        Record.result("long requests: " + longSent + ", refused with 503: " + longRefused + ", rejections by servers: "
                + rejected);
        Record.result("exports: " + asked + ", served: " + served + ", other status: " + otherStatus
                + ", lasted longer than the route's timeout_ms: " + lasted + ", no complete answer 0.5 s after the route's timeout_ms: " + unanswered
                + "; without a complete answer although a sound server has run it: " + unansweredRun);
        Record.result("the gateway's process " + (alive ? "runs" : "has ended"));
        if (asked.get() < 150 || rejected == 0) {
            Record.result("the case could not run");
            return 2;
        }
        boolean broken = (unanswered.get() >= 8 && unanswered.get() > lasted.get() / 4) || !alive;
        Record.result(broken ? "CONFIG is broken" : "CONFIG holds");
        return broken ? 1 : 0;
    }

    private static Map<String, String> headers(String attempt) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Masticfold-Attempt-Id", attempt);
        headers.put("Authorization", "Bearer " + KEY);
        return headers;
    }

    private static Object config() {
        String service = ",\"health_path\":\"/health\",\"max_connections\":100,\"protocol\":\"h1\",\"tls\":false,"
                + "\"cold_start_s\":0.0,\"cold_per_s\":0.0}";
        return Json.parse("{\"version\":7,\"routes\":[{\"name\":\"r-export\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"/bobo563/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":193,"
                + "\"priority\":2,\"service\":\"ledger\",\"max_attempts\":1,\"public\":false,\"sticky\":false},"
                + "{\"name\":\"r-docs\",\"host\":\"" + HOST + "\",\"path_prefix\":\"/docs12/\",\"kind\":\"unsafe\","
                + "\"timeout_ms\":3000,\"target_latency_ms\":500,\"priority\":2,\"service\":\"docs\","
                + "\"max_attempts\":1,\"public\":false,\"sticky\":false}],"
                + "\"services\":[{\"name\":\"ledger\"" + service + ",{\"name\":\"docs\"" + service + "],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"shed\",\"api_keys\":[\"" + KEY
                + "\"],\"priority\":1}]}");
    }
}
