import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** One prompt part crashes model servers; sound requests share their caller and their first part with it. */
final class Case6 {

    private static final String FIRST_PART = "a1f0c0de";
    private static final String POISON_PART = "dead0bad";
    private static final String OTHER_FIRST_PART = "b2e1f00d";
    private static final String KEY = "key-of-the-shed-0001";
    private static final String OTHER_KEY = "key-of-the-port-0001";
    private static final String HOST = "pule25.example";
    private static final long STABLE_WINDOW_MILLIS = 3000;
    private static final long CRASHED_SERVER_DOWN_MILLIS = 4000;
    private static final int CLUMP = 8;
    private static final long CLUMP_INTERVAL_MILLIS = 8000;
    private static final long TRAFFIC_FROM = 7000;
    private static final long POISON_FROM = TRAFFIC_FROM + 3 * CLUMP_INTERVAL_MILLIS - 2500;
    private static final long END = TRAFFIC_FROM + 11 * CLUMP_INTERVAL_MILLIS;

    private record Sound(long sentMillis, boolean begun) {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        Record.open(Path.of(args[1]));
        Net net = new Net();
        InetAddress platform = net.address(1);
        Store store = new Store(platform);
        store.put("config", "main", config());
        AtomicInteger crashes = new AtomicInteger();
        AtomicLong lastCrash = new AtomicLong(-1);
        for (int server = 0; server < 8; server++) {
            new ModelServer(
                    store,
                    net.address(20 + server),
                    "llm",
                    server % 2 == 0 ? "zone-a" : "zone-b",
                    10,
                    60,
                    20,
                    request -> request.header("x-masticfold-prompt-prefix").contains(POISON_PART),
                    () -> {
                        crashes.incrementAndGet();
                        lastCrash.set(Record.millis());
                    },
                    CRASHED_SERVER_DOWN_MILLIS);
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
            Record.note("both gateways are ready");
            int exit = play(trouble, a, b, store, crashes, lastCrash);
            System.exit(exit);
        } finally {
            a.kill();
            b.kill();
        }
    }

    private static int play(
            boolean trouble, Gateway a, Gateway b, Store store, AtomicInteger crashes, AtomicLong lastCrash) {
        ConcurrentLinkedQueue<Sound> sound = new ConcurrentLinkedQueue<>();
        List<Thread> threads = new ArrayList<>();
        // Callers of the tenant are all in zone A; their requests come in groups.
        for (long at = TRAFFIC_FROM; at < END; at += CLUMP_INTERVAL_MILLIS) {
            for (int request = 0; request < CLUMP; request++) {
                long sendAt = at + 15L * request;
                int number = request;
                threads.add(Threads.start("sound", () -> {
                    Threads.until(sendAt);
                    Client.Answer answer = send(a, "sound", KEY, FIRST_PART + ":800,c3" + number + "aa:400");
                    sound.add(new Sound(sendAt, answer.events() > 0));
                }));
            }
        }
        // Requests of another tenant come at both gateways all the time.
        for (Gateway gateway : List.of(a, b)) {
            threads.add(Threads.start("other", () -> {
                for (long at = TRAFFIC_FROM; at < END; at += 400) {
                    Threads.until(at);
                    Threads.start("other", () -> send(gateway, "other", OTHER_KEY, OTHER_FIRST_PART + ":600,77aa:300"));
                }
            }));
        }
        if (trouble) {
            threads.add(Threads.start("poison", () -> {
                for (int request = 0; Record.millis() < END; request++) {
                    // Four come within a second, later ones every two seconds at either gateway.
                    Threads.until(request < 4 ? POISON_FROM + 250L * request : POISON_FROM + 2000L * (request - 3));
                    Gateway gateway = request < 4 || request % 2 == 0 ? a : b;
                    Threads.start(
                            "poison",
                            () -> send(gateway, "poison", KEY, FIRST_PART + ":800," + POISON_PART + ":300"));
                }
            }));
        }
        Threads.until(END + 3000);
        long from = trouble ? lastCrash.get() + 2 * STABLE_WINDOW_MILLIS : POISON_FROM + 2 * STABLE_WINDOW_MILLIS;
        int before = 0;
        int begunBefore = 0;
        int after = 0;
        int begunAfter = 0;
        for (Sound request : sound) {
            if (request.sentMillis() < POISON_FROM) {
                before++;
                begunBefore += request.begun() ? 1 : 0;
            } else if (request.sentMillis() > from) {
                after++;
                begunAfter += request.begun() ? 1 : 0;
            }
        }
        Record.result("crashes: " + crashes.get() + ", the last at " + lastCrash.get() + " ms");
        Record.result("quarantined in the store: " + store.names("masticfold-quarantined-parts"));
        Record.result("sound requests of the caller before: " + begunBefore + " of " + before + " began");
        Record.result("sound requests of the caller after the last crash + 2 x stable_window_ms: " + begunAfter + " of "
                + after + " began");
        if (!a.alive() || !b.alive() || before < 20 || after < 20 || (trouble && crashes.get() == 0)) {
            Record.result("the case could not run");
            return 2;
        }
        boolean broken = (double) begunAfter / after < 0.5 * begunBefore / before;
        Record.result(broken ? "LOST is broken" : "LOST holds");
        return broken ? 1 : 0;
    }

    private static Client.Answer send(Gateway gateway, String what, String key, String sharedParts) {
        String attempt = Deployment.attemptId();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Masticfold-Attempt-Id", attempt);
        headers.put("X-Masticfold-Model", "m");
        headers.put("X-Masticfold-Token-Count", "1400,60");
        headers.put("X-Masticfold-Prompt-Prefix", sharedParts + "," + attempt.substring(0, 8) + ":200");
        headers.put("Authorization", "Bearer " + key);
        Client.Answer answer = Client.send(
                gateway, "POST", "/puxa400/2f", HOST, headers, ("prompt " + attempt).getBytes(), 8000);
        Record.note(what + " " + attempt + " at " + gateway.node + ": status " + answer.status() + ", "
                + answer.events() + " events" + (answer.served() ? ", complete" : ", " + answer.detail()));
        return answer;
    }

    private static Object config() {
        return Json.parse("{\"version\":7,\"routes\":[{\"name\":\"r-certify\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"/puxa400/\",\"kind\":\"stream\",\"timeout_ms\":8000,\"target_latency_ms\":1000,"
                + "\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,\"public\":false,\"sticky\":true,"
                + "\"resumable\":true,\"gap_aim_ms\":400}],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\","
                + "\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0,"
                + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":586503}}],\"limits\":{\"max_header_bytes\":16384,"
                + "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":["
                + "{\"name\":\"shed\",\"api_keys\":[\"" + KEY + "\"],\"priority\":1},{\"name\":\"port\",\"api_keys\":[\""
                + OTHER_KEY + "\"],\"priority\":1}]}");
    }
}
