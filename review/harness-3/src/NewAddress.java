import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Servers of two software versions serve side by side. A front machine is replaced by one of the same name at a new
 * address. Later its process is killed; clients take its streams up at the other gateway.
 */
public final class NewAddress extends Case {
    private static final int EVENTS = 30;
    private static final int EVENT_PAUSE_MILLIS = 100;
    private static final int STREAMS = 30;
    private static final int SETTLE_MILLIS = 8000;

    private final AtomicInteger wentOn = new AtomicInteger();
    private final AtomicInteger takenUp = new AtomicInteger();
    private final AtomicInteger begun = new AtomicInteger();
    private final AtomicInteger tried = new AtomicInteger();
    private final AtomicInteger mixed = new AtomicInteger();

    public static void main(String[] arguments) {
        main(new NewAddress(), arguments);
    }

    private final class Engine extends Server {
        Engine(int number, String version) {
            super(Loopback.ip(100 + number), "engine-" + number, "llm", "z1", NewAddress.this.store);
            this.version = version;
        }

        @Override
        boolean answer(Message request, Socket socket, InputStream in) throws Exception {
            String last = request.header("Last-Event-Id");
            note(id + " (" + version + ") runs " + request.header("X-Masticfold-Attempt-Id")
                    + (last.isEmpty() ? "" : " after event " + last));
            int from = last.isEmpty() ? 0 : Integer.parseInt(last);
            write(
                    socket,
                    "HTTP/1.1 200 OK\r\nX-Masticfold-Attempt-Id: " + request.header("X-Masticfold-Attempt-Id")
                            + "\r\nX-Masticfold-Response-Seal: 1.2.3\r\nContent-Type: text/event-stream\r\n"
                            + "Transfer-Encoding: chunked\r\n\r\n");
            for (int event = from + 1; event <= EVENTS; event++) {
                Thread.sleep(EVENT_PAUSE_MILLIS);
                String text = "id: " + event + "\ndata: " + version + "\n\n";
                write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            }
            write(socket, "0\r\n\r\n");
            return true;
        }
    }

    /** What a client has of a stream. */
    private static final class Received {
        int status;
        int lastEvent;
        String version = "";
    }

    /** Reads a stream until it ends or its connection breaks. */
    private Received read(Gateway gateway, String attempt, String resumes, int after) {
        Received received = new Received();
        note("client sends " + attempt + " to " + gateway.node
                + (resumes.isEmpty() ? "" : ", resumes " + resumes + " after event " + after));
        try (Socket socket = gateway.connect()) {
            socket.setSoTimeout(5000);
            Listener.write(
                    socket,
                    head("POST", "/chat/1", attempt, 10_000)
                            + (resumes.isEmpty() ? "" : "Resumes: " + resumes + "\r\nLast-Event-Id: " + after + "\r\n")
                            + "X-Masticfold-Model: m\r\nX-Masticfold-Token-Count: 1000,180\r\n"
                            + "X-Masticfold-Prompt-Prefix: 5c1e07a2:800," + attempt
                            + ":200\r\nContent-Length: 2\r\n\r\nhi");
            InputStream in = socket.getInputStream();
            Message answer = Message.readHead(in);
            if (answer == null) {
                return received;
            }
            received.status = answer.status();
            if (received.status != 200) {
                answer.readBody(in, true);
                return received;
            }
            for (String line = Message.line(in); line != null && !line.equals("0"); line = Message.line(in)) {
                if (line.startsWith("id: ")) {
                    received.lastEvent = Integer.parseInt(line.substring(4));
                } else if (line.startsWith("data: ")) {
                    received.version = line.substring(6);
                }
            }
        } catch (IOException e) {
            // The connection broke.
        }
        note("client got for " + attempt + ": status " + received.status + ", up to event " + received.lastEvent + " "
                + received.version);
        return received;
    }

    @Override
    boolean run() throws Exception {
        for (int i = 1; i <= 4; i++) {
            new Engine(i, i <= 2 ? "v1" : "v2").begin();
        }
        Map<String, Object> llm = service("llm");
        llm.put("engine", map("slots", 64, "kv_capacity_tokens", 512369, "token_kv_bytes", 163840, "link_mbps", 550000.0));
        configure(1, List.of(route("chat", "stream", "llm", 10_000, 2)), List.of(llm));
        startGateways(2);
        Gateway first = gateways.get(0);
        Gateway second = gateways.get(1);
        first.kill();
        Thread.sleep(1000);
        Gateway replacement = trouble
                ? new Gateway(folder, first.node, Loopback.ip(31), first.peer, first.zone)
                : first;
        replacement.start(store.address(), List.of(first.ip, second.ip));
        replacement.awaitReady();
        log(first.node + ", killed, is back at " + (trouble ? "another" : "the same") + " address");
        Thread.sleep(SETTLE_MILLIS);

        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < STREAMS; i++) {
            int number = i;
            clients.add(Listener.thread(() -> {
                Thread.sleep(number * 20L);
                String attempt = attempt();
                Received before = read(replacement, attempt, "", 0);
                if (before.lastEvent == 0 || before.lastEvent == EVENTS) {
                    log("stream " + attempt + " wasn't broken: status " + before.status + ", " + before.lastEvent);
                    return;
                }
                takenUp.incrementAndGet();
                String next = attempt();
                Received after = read(second, next, attempt, before.lastEvent);
                if (after.lastEvent > before.lastEvent) {
                    wentOn.incrementAndGet();
                    if (!after.version.equals(before.version)) {
                        mixed.incrementAndGet();
                    }
                }
                log("stream " + attempt + " (" + before.version + ", up to " + before.lastEvent + ") is taken up by "
                        + next + ": status " + after.status + ", up to " + after.lastEvent + " " + after.version);
            }));
            if (i % 2 == 0) {
                clients.add(Listener.thread(() -> {
                    Thread.sleep(2500 + number * 20L);
                    tried.incrementAndGet();
                    if (read(second, attempt(), "", 0).lastEvent > 0) {
                        begun.incrementAndGet();
                    }
                }));
            }
        }
        Thread.sleep(2000);
        replacement.kill();
        log(replacement.node + " is killed");
        for (Thread client : clients) {
            client.join();
        }
        log(takenUp + " streams taken up at " + second.node + ", of which went on: " + wentOn + "; new streams there: "
                + tried + ", begun: " + begun + "; streams of two versions: " + mixed);
        double share = takenUp.get() == 0 ? 1 : wentOn.get() / (double) takenUp.get();
        return takenUp.get() >= 12 && share < 0.5 * begun.get() / Math.max(1, tried.get());
    }
}
