import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Model servers crash one after the other and start again at once under their ids, at a newer software version. Clients read streams that
 * may be resumed; each event names the version of the server process that wrote it.
 */
public final class RestartedVersion extends Case {
    private static final int EVENTS = 20;
    private static final int EVENT_PAUSE_MILLIS = 100;
    private static final int DOWN_MILLIS = 300;
    private static final int GAP_MILLIS = 700;
    private static final int ROUNDS = 12;
    private static final int ROUND_MILLIS = 6000;
    private static final int CLIENTS = 16;

    private final AtomicInteger streams = new AtomicInteger();
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();

    public static void main(String[] arguments) {
        main(new RestartedVersion(), arguments);
    }

    private final class Engine extends Server {
        Engine(int number) {
            super(Loopback.ip(100 + number), "engine-" + number, "llm", "z1", RestartedVersion.this.store);
        }

        @Override
        boolean answer(Message request, Socket socket, InputStream in) throws Exception {
            String own = version;
            String last = request.header("Last-Event-Id");
            int from = last.isEmpty() ? 0 : Integer.parseInt(last);
            write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Masticfold-Attempt-Id: " + request.header("X-Masticfold-Attempt-Id")
                            + "\r\nX-Masticfold-Response-Seal: 1.2.3\r\nContent-Type: text/event-stream\r\n"
                            + "X-Masticfold-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int event = from + 1; event <= EVENTS; event++) {
                Thread.sleep(EVENT_PAUSE_MILLIS);
                String text = "id: " + event + "\ndata: " + own + "\n\n";
                write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            }
            write(socket, "0\r\n\r\n");
            return true;
        }
    }

    private void readStream(Gateway gateway) throws Exception {
        String attempt = attempt();
        try (Socket socket = gateway.connect()) {
            socket.setSoTimeout(3000);
            write(socket, attempt);
            Message answer = Message.readResponse(socket.getInputStream());
            streams.incrementAndGet();
            if (answer == null || answer.status() != 200) {
                return;
            }
            if (answer.complete) {
                whole.incrementAndGet();
            }
            Set<String> versions = new LinkedHashSet<>();
            for (String line : answer.text().split("\n")) {
                if (line.startsWith("data: ")) {
                    versions.add(line.substring(6));
                }
            }
            if (versions.size() > 1) {
                mixed.incrementAndGet();
                log("stream " + attempt + " holds events of " + versions + ": "
                        + answer.text().replaceAll("\\s*\\n+(id|data): ?", " ").trim());
            }
        } catch (SocketException e) {
            streams.incrementAndGet();
        }
    }

    private static void write(Socket socket, String attempt) throws Exception {
        Listener.write(
                socket,
                head("POST", "/chat/1", attempt, 10_000)
                        + "X-Masticfold-Model: m\r\nX-Masticfold-Token-Count: 1000,120\r\n"
                        + "X-Masticfold-Prompt-Prefix: 5c1e07a2:800," + attempt + ":200\r\nContent-Length: 2\r\n\r\nhi");
    }

    @Override
    boolean run() throws Exception {
        List<Engine> engines = new ArrayList<>();
        for (int i = 1; i <= 4; i++) {
            Engine engine = new Engine(i);
            engine.begin();
            engines.add(engine);
        }
        java.util.Map<String, Object> service = service("llm");
        service.put(
                "engine",
                map("slots", 64, "kv_capacity_tokens", 512369, "token_kv_bytes", 163840, "link_mbps", 550000.0));
        configure(1, List.of(route("chat", "stream", "llm", 10_000, 2)), List.of(service));
        startGateways(4);
        long end = System.nanoTime() + (3000L + ROUNDS * ROUND_MILLIS) * 1_000_000;
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Listener.thread(() -> {
                Thread.sleep(number * 100L);
                while (System.nanoTime() < end) {
                    readStream(gateways.get(number % gateways.size()));
                    Thread.sleep(100);
                }
            });
        }
        Thread.sleep(5000);
        for (int round = 2; round <= ROUNDS; round++) {
            long began = System.nanoTime();
            for (Engine engine : round % 2 == 0 ? engines.subList(0, 2) : engines.subList(2, 4)) {
                if (trouble) {
                    log(engine.id + " is killed");
                    engine.kill();
                    Thread.sleep(DOWN_MILLIS);
                    engine.version = "v" + round;
                    engine.begin();
                    log(engine.id + " has started at version v" + round);
                    Thread.sleep(GAP_MILLIS - DOWN_MILLIS);
                }
            }
            Thread.sleep(Math.max(0, ROUND_MILLIS - (System.nanoTime() - began) / 1_000_000));
        }
        Thread.sleep(3000);
        log(streams + " streams, " + whole + " whole, " + mixed + " with events of two software versions");
        return mixed.get() > 2;
    }
}
