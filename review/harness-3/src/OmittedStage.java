import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A route has three stages, one after the other. Part of the requests omit the first one with a count of 0 pieces. */
public final class OmittedStage extends Case {
    private static final List<String> SERVICES = List.of("scan", "portal", "freight");
    private static final int REQUESTS = 60;

    /** Key of the client's request, by attempt. */
    private final Map<String, String> keys = new ConcurrentHashMap<>();

    private final AtomicInteger handles = new AtomicInteger();
    private final AtomicInteger pieces = new AtomicInteger();
    private final AtomicInteger otherKeys = new AtomicInteger();

    public static void main(String[] arguments) {
        main(new OmittedStage(), arguments);
    }

    private final class Maker extends Server {
        Maker(String service, int number) {
            super(Loopback.ip(100 + number), service + "-" + number, service, "z1", OmittedStage.this.store);
        }

        @Override
        boolean answer(Message request, Socket socket, InputStream in) throws Exception {
            List<Object> outcomes = new ArrayList<>();
            if (request.target().equals("/-/stage-run")) {
                Thread.sleep(30);
                for (Object entry : (List<?>) Json.object(request.text()).get("items")) {
                    Map<?, ?> item = (Map<?, ?>) entry;
                    String attempt = String.valueOf(item.get("id"));
                    pieces.incrementAndGet();
                    note(id + " runs " + Json.write(item));
                    if (item.containsKey("key") && !keys.get(attempt).equals(item.get("key"))) {
                        otherKeys.incrementAndGet();
                        log(id + " is asked for " + Json.write(item) + "; the key of the client's request is "
                                + keys.get(attempt));
                    }
                    outcomes.add(map("handle", address() + "/" + Integer.toHexString(0x100000 + handles.incrementAndGet())));
                }
            }
            String body = Json.write(map("items", outcomes));
            write(
                    socket,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Masticfold-Server-Load: 0,0,1\r\n"
                            + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            return true;
        }

        @Override
        boolean handle(Socket socket, InputStream in) throws Exception {
            Message request = Message.readRequest(in);
            return request != null && request.complete && answer(request, socket, in);
        }
    }

    private final class Engine extends Server {
        Engine() {
            super(Loopback.ip(220), "engine-1", "llm", "z1", OmittedStage.this.store);
        }

        @Override
        boolean answer(Message request, Socket socket, InputStream in) throws Exception {
            String attempt = request.header("X-Masticfold-Attempt-Id");
            note(id + " is sent " + attempt + " with inputs " + request.header("X-Masticfold-Inputs"));
            if (!request.has("X-Masticfold-Inputs")) {
                write(
                        socket,
                        "HTTP/1.1 400 X\r\nX-Masticfold-Attempt-Id: " + attempt
                                + "\r\nX-Masticfold-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                return true;
            }
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
        List<Map<String, Object>> services = new ArrayList<>();
        List<Object> stages = new ArrayList<>();
        int number = 0;
        for (String name : SERVICES) {
            for (int i = 0; i < 4; i++) {
                new Maker(name, ++number).begin();
            }
            Map<String, Object> service = service(name);
            service.put(
                    "pieces",
                    map(
                            "slots", 1, "queue", 2, "batch", 6, "call_ms", 30.0, "item_ms", 1.0, "headroom_mb", 10.0,
                            "handle_s", 4.0, "link_mbps", 10000));
            services.add(service);
            stages.add(map(
                    "service", name, "after", stages.isEmpty() ? List.of() : List.of(stages.size() - 1), "bytes", 8000));
        }
        new Engine().begin();
        Map<String, Object> llm = service("llm");
        llm.put("engine", map("slots", 64, "kv_capacity_tokens", 512369, "token_kv_bytes", 163840, "link_mbps", 550000.0));
        services.add(llm);
        Map<String, Object> route = route("sort", "stream", "llm", 10_000, 2);
        route.put("stages", stages);
        configure(1, List.of(route), services);
        startGateways(2);
        Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
        for (int i = 0; i < REQUESTS; i++) {
            String attempt = attempt();
            String key = Integer.toHexString(0x7c1e0000 + i);
            keys.put(attempt, key);
            String counts = trouble && i % 3 == 0 ? "0,2,1" : "1,2,1";
            note("client sends " + attempt + ", pieces " + counts + ", key " + key);
            Message answer = call(
                    gateways.get(i % 2),
                    head("POST", "/sort/1", attempt, 10_000)
                            + "X-Masticfold-Model: m\r\nX-Masticfold-Token-Count: 1000,12\r\n"
                            + "X-Masticfold-Prompt-Prefix: 5c1e07a2:800," + attempt + ":200\r\nX-Masticfold-Pieces: "
                            + counts + "\r\nX-Masticfold-Piece-Key: " + key + "\r\nContent-Length: 2\r\n\r\nhi",
                    11_000);
            note("client gets for " + attempt + ": " + (answer == null ? "no answer" : answer.status()));
            answers.computeIfAbsent(
                            counts + " " + (answer == null ? "closed" : answer.status()), _key -> new AtomicInteger())
                    .incrementAndGet();
        }
        log("answers by the counts of pieces: " + answers);
        log(otherKeys + " of " + pieces + " pieces were asked for with another key than the client's");
        return otherKeys.get() > 0;
    }
}
