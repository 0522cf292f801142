import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The open connections to the store go silent, new ones work; seconds later servers leave without draining. */
final class Case8 {

    private static final String KEY = "key-of-the-shed-0001";
    private static final String HOST = "jepu9.example";
    private static final long STABLE_WINDOW_MILLIS = 3000;
    private static final long DRAIN_MILLIS = 2000;
    /** Times for which servers go on after drain_ms, by turns: a little longer, at times many seconds. */
    private static final long[] SERVES_ON_MILLIS = {600, 4000};
    private static final long TRAFFIC_FROM = 7000;
    private static final int ROUNDS = 9;
    private static final long ROUND_MILLIS = 10_000;
    private static final long END = TRAFFIC_FROM + 1000 + ROUNDS * (ROUND_MILLIS + 300);

    private record Sent(Gateway gateway, long millis) {}

    private record Left(long silencedMillis, long removedMillis) {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = Path.of(args[0]);
        Record.open(Path.of(args[1]));
        Net net = new Net();
        InetAddress platform = net.address(1);
        Store store = new Store(platform);
        store.put("config", "main", config());
        Map<String, Sent> sent = new ConcurrentHashMap<>();
        Map<String, Left> left = new ConcurrentHashMap<>();
        Map<String, AtomicInteger> late = new ConcurrentHashMap<>();
        AtomicInteger lateInAll = new AtomicInteger();
        Set<String> lateAttempts = ConcurrentHashMap.newKeySet();
        Set<String> unanswered = ConcurrentHashMap.newKeySet();
        List<AppServer> servers = new ArrayList<>();
        for (int server = 0; server < 4 + ROUNDS; server++) {
            servers.add(new AppServer(
                    store,
                    net.address(30 + server),
                    "ledger",
                    server % 2 == 0 ? "zone-a" : "zone-b",
                    30,
                    (id, attempt) -> {
                        Left gone = left.get(id);
                        Sent request = sent.get(attempt);
                        if (gone == null || request == null) {
                            return;
                        }
                        long after = request.millis() - gone.removedMillis();
                        boolean inTouch = Record.millis() > gone.silencedMillis() + STABLE_WINDOW_MILLIS + 100;
                        if (after > DRAIN_MILLIS && inTouch) {
                            lateAttempts.add(attempt);
                            lateInAll.incrementAndGet();
                            late.computeIfAbsent(request.gateway().node, node -> new AtomicInteger())
                                    .incrementAndGet();
                            Record.note("LATE: " + attempt + " from " + request.gateway().node + " reaches " + id
                                    + ", sent " + after + " ms after its entry was removed");
                        }
                    }));
        }
        Proxy proxy = new Proxy(
                net.address(2), new InetSocketAddress(platform, store.server.port()), line -> {});
        InetAddress ipA = net.address(11);
        InetAddress ipB = net.address(12);
        int peerPort = Gateway.freePort(ipA);
        List<String> seeds = List.of(ipA.getHostAddress() + ":1", ipB.getHostAddress() + ":1");
        String storeAddress = net.address(2).getHostAddress() + ":" + proxy.port();
        Gateway a = Gateway.start("front-a", "zone-a", ipA, peerPort, seeds, storeAddress, Deployment.BOUNDS, folder);
        Gateway b = Gateway.start("front-b", "zone-b", ipB, peerPort, seeds, storeAddress, Deployment.BOUNDS, folder);
        try {
            if (!a.awaitReady(6000) || !b.awaitReady(6000)) {
                Record.result("the gateways are not ready");
                System.exit(2);
            }
            AtomicInteger answered = new AtomicInteger();
            for (Gateway gateway : List.of(a, b)) {
                Threads.start("traffic", () -> {
                    for (long at = TRAFFIC_FROM; at < END; at += 20) {
                        Threads.until(at);
                        Threads.start("request", () -> {
                            if (send(gateway, sent, unanswered)) {
                                answered.incrementAndGet();
                            }
                        });
                    }
                });
            }
            for (int round = 0; round < ROUNDS; round++) {
                long begin = TRAFFIC_FROM + 1000 + round * ROUND_MILLIS + 300L * round;
                Threads.until(begin);
                int silenced = trouble ? proxy.silence() : 0;
                Record.note("round " + round + ": " + silenced + " connections to the store are silent");
                // The store has been without disruption all the time; the connections were lost so long ago.
                Threads.until(begin + STABLE_WINDOW_MILLIS + 100);
                AppServer leaving = servers.get(round);
                left.put(leaving.id(), new Left(begin, Record.millis()));
                leaving.registration.remove();
                Record.note("round " + round + ": the entry of " + leaving.id() + " is removed");
                long servesOn = DRAIN_MILLIS + SERVES_ON_MILLIS[round % SERVES_ON_MILLIS.length];
                Threads.start("exit", () -> {
                    Threads.sleep(servesOn);
                    leaving.exit();
                    Record.note(leaving.id() + " has exited");
                });
            }
            Threads.until(END + 2000);
            Record.result("requests: " + sent.size() + ", answered: " + answered);
            unanswered.retainAll(lateAttempts);
            Record.result("requests later than drain_ms after the removal, by gateway: " + late + "; of these payments "
                    + unanswered.size() + " ran and were not answered");
            if (!a.alive() || !b.alive() || answered.get() < 1000) {
                Record.result("the case could not run");
                System.exit(2);
            }
            boolean broken = lateInAll.get() > 0;
            Record.result(broken ? "DRAIN is broken" : "DRAIN holds");
            System.exit(broken ? 1 : 0);
        } finally {
            a.kill();
            b.kill();
        }
    }

    private static boolean send(Gateway gateway, Map<String, Sent> sent, Set<String> unanswered) {
        String attempt = Deployment.attemptId();
        sent.put(attempt, new Sent(gateway, Record.millis()));
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Masticfold-Attempt-Id", attempt);
        headers.put("Authorization", "Bearer " + KEY);
        Client.Answer answer =
                Client.send(gateway, "POST", "/bobo563/" + attempt, HOST, headers, "pay".getBytes(), 1500);
        if (!answer.served()) {
            unanswered.add(attempt);
            Record.note(attempt + " at " + gateway.node + ": status " + answer.status() + " " + answer.detail());
        }
        return answer.served();
    }

    private static Object config() {
        return Json.parse("{\"version\":7,\"routes\":[{\"name\":\"r-pay\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"/bobo563/\",\"kind\":\"unsafe\",\"timeout_ms\":1500,\"target_latency_ms\":193,"
                + "\"priority\":2,\"service\":\"ledger\",\"max_attempts\":1,\"public\":false,\"sticky\":false}],"
                + "\"services\":[{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_connections\":100,"
                + "\"protocol\":\"h1\",\"tls\":false,\"cold_start_s\":0.0,\"cold_per_s\":0.0}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"shed\",\"api_keys\":[\"" + KEY
                + "\"],\"priority\":1}]}");
    }
}
