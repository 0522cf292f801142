import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The servers of three stage services are replaced one after the other: a new one starts, then the oldest drains. Some send a second
 * copy of an answer late, at the point where the next answer on the connection is expected. The model server checks that
 * the results it is given were made for the request.
 */
public final class LateCopies extends Case {
    private static final List<String> SERVICES = List.of("scan", "portal", "freight");
    private static final int SERVERS = 4;
    private static final int BATCH = 4;
    private static final int CALL_MILLIS = 60;
    private static final int ITEM_MILLIS = 10;
    private static final double COPYING_SHARE = 0.6;
    private static final double COPIED_ANSWERS = 0.03;
    private static final int STEP_MILLIS = 800;
    private static final int RUN_SECONDS = 95;
    private static final int FIRST_EVENT_MILLIS = 400;
    private static final int CLIENTS = 16;

    /** Attempt for which each result was made. */
    private final Map<String, String> makers = new ConcurrentHashMap<>();

    private final AtomicInteger handles = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();

    public static void main(String[] arguments) {
        main(new LateCopies(), arguments);
    }

    private final class Maker extends Server {
        private final Map<Socket, String> late = new ConcurrentHashMap<>();
        private final boolean copying;

        Maker(String service, int number, boolean copying) {
            super(Loopback.ip(60 + number % 150), service + "-" + number, service, "z1", LateCopies.this.store);
            this.copying = copying;
        }

        private void respond(Socket socket, String body, boolean run) throws Exception {
            String answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Masticfold-Server-Load: 0,0,1\r\n"
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body;
            String copy = late.remove(socket);
            if (run && trouble && copying && ThreadLocalRandom.current().nextDouble() < COPIED_ANSWERS) {
                copies.incrementAndGet();
                note(id + " sends this answer again later: " + body);
                late.put(socket, answer);
            }
            write(socket, (copy == null ? "" : copy) + answer);
        }

        @Override
        boolean handle(Socket socket, InputStream in) throws Exception {
            Message request = Message.readRequest(in);
            if (request == null || !request.complete) {
                return false;
            }
            if (request.target().equals("/-/stage-run")) {
                if (!request.header("X-Masticfold-Target-Instance").equals(id)) {
                    write(socket, "HTTP/1.1 421 X\r\nX-Masticfold-Instance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                    return true;
                }
                List<Object> outcomes = new ArrayList<>();
                synchronized (this) {
                    List<?> items = (List<?>) Json.object(request.text()).get("items");
                    Thread.sleep(CALL_MILLIS + ITEM_MILLIS * items.size());
                    for (Object item : items) {
                        String handle = address() + "/" + Integer.toHexString(0x100000 + handles.incrementAndGet());
                        makers.put(handle, String.valueOf(((Map<?, ?>) item).get("id")));
                        outcomes.add(map("handle", handle));
                        note(id + " makes " + handle + " for " + ((Map<?, ?>) item).get("id"));
                    }
                }
                respond(socket, Json.write(map("items", outcomes)), true);
            } else if (request.target().equals("/-/report")) {
                respond(socket, "{\"waiting\":0,\"busy\":true,\"free_mb\":10}", false);
            } else {
                respond(socket, "{}", false);
            }
            return true;
        }

        @Override
        boolean answer(Message request, Socket socket, InputStream in) {
            return true;
        }
    }

    private final class Engine extends Server {
        Engine(int number) {
            super(Loopback.ip(220 + number), "engine-" + number, "llm", "z1", LateCopies.this.store);
        }

        @Override
        boolean answer(Message request, Socket socket, InputStream in) throws Exception {
            String attempt = request.header("X-Masticfold-Attempt-Id");
            String inputs = request.header("X-Masticfold-Inputs");
            note(id + " runs " + attempt + " with " + inputs);
            for (String handle : inputs.split(",")) {
                String maker = makers.get(handle.trim());
                if (!attempt.equals(maker)) {
                    mixed.incrementAndGet();
                    log("request " + attempt + " is given the result " + handle + ", made for request " + maker);
                }
            }
            Thread.sleep(FIRST_EVENT_MILLIS);
            String text = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Masticfold-Attempt-Id: " + attempt
                            + "\r\nX-Masticfold-Response-Seal: 1.2.3\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(text.length()) + "\r\n" + text
                            + "\r\n0\r\n\r\n");
            return true;
        }
    }

    @Override
    boolean run() throws Exception {
        Map<String, Deque<Maker>> inService = new LinkedHashMap<>();
        int number = 0;
        for (String service : SERVICES) {
            inService.put(service, new ArrayDeque<>());
            for (int i = 0; i < SERVERS; i++) {
                Maker maker = new Maker(service, ++number, i < 2);
                maker.begin();
                inService.get(service).add(maker);
            }
        }
        for (int i = 1; i <= 2; i++) {
            new Engine(i).begin();
        }
        List<Map<String, Object>> services = new ArrayList<>();
        List<Map<String, Object>> routes = new ArrayList<>();
        Map<String, Object> llm = service("llm");
        llm.put("engine", map("slots", 64, "kv_capacity_tokens", 512369, "token_kv_bytes", 163840, "link_mbps", 550000.0));
        services.add(llm);
        for (String name : SERVICES) {
            Map<String, Object> service = service(name);
            service.put(
                    "pieces",
                    map(
                            "slots", 1, "queue", 2, "batch", BATCH, "call_ms", (double) CALL_MILLIS, "item_ms",
                            (double) ITEM_MILLIS, "headroom_mb", 10.0, "handle_s", 4.0, "link_mbps", 10000));
            services.add(service);
            Map<String, Object> route = route(name, "stream", "llm", 10_000, 2);
            route.put("stages", List.of(map("service", name, "after", List.of(), "bytes", 8000)));
            routes.add(route);
        }
        configure(1, routes, services);
        startGateways(1);
        Gateway gateway = gateways.get(0);
        long end = System.nanoTime() + RUN_SECONDS * 1_000_000_000L;
        for (int i = 0; i < CLIENTS * SERVICES.size(); i++) {
            String path = "/" + SERVICES.get(i % SERVICES.size()) + "/1";
            Listener.thread(() -> {
                while (System.nanoTime() < end) {
                    String attempt = attempt();
                    note("client sends " + attempt + " " + path);
                    Message answer = call(
                            gateway,
                            head("POST", path, attempt, 10_000)
                                    + "X-Masticfold-Model: m\r\nX-Masticfold-Token-Count: 1000,12\r\n"
                                    + "X-Masticfold-Prompt-Prefix: 5c1e07a2:800," + attempt
                                    + ":200\r\nX-Masticfold-Pieces: " + BATCH + "\r\nX-Masticfold-Piece-Key: " + attempt
                                    + "\r\nContent-Length: 2\r\n\r\nhi",
                            11_000);
                    note("client gets for " + attempt + ": "
                            + (answer == null ? "no answer" : answer.status() + (answer.complete ? "" : ", cut")));
                    if (answer != null && answer.status() == 200) {
                        served.incrementAndGet();
                    } else {
                        other.incrementAndGet();
                        Thread.sleep(200);
                    }
                }
            });
        }
        while (System.nanoTime() < end) {
            Thread.sleep(STEP_MILLIS);
            for (String service : SERVICES) {
                Maker next = new Maker(service, ++number, ThreadLocalRandom.current().nextDouble() < COPYING_SHARE);
                next.begin();
                note(next.id + " starts");
                inService.get(service).add(next);
            }
            Thread.sleep(STEP_MILLIS);
            for (String service : SERVICES) {
                Maker oldest = inService.get(service).remove();
                oldest.state = "draining";
                oldest.beat();
                note(oldest.id + " drains");
                Listener.thread(() -> {
                    Thread.sleep(4000);
                    oldest.kill();
                    store.delete("servers", oldest.id);
                });
            }
        }
        log(served + " requests served, " + other + " not; " + number + " stage servers, " + copies
                + " late copies; results given to another request than that they were made for: " + mixed);
        return mixed.get() > 0;
    }
}
