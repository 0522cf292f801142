import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in of a server of a service, which keeps its entry in the store. */
abstract class Server extends Listener {
    static final long BEAT_MILLIS = 1200;
    final String id;
    final String service;
    final String zone;
    final Store store;
    final List<Message> executed = new CopyOnWriteArrayList<>();
    volatile String version = "v1";
    volatile String state = "ready";
    volatile long born = System.currentTimeMillis();
    private volatile int life;
    private long seq;

    Server(String ip, String id, String service, String zone, Store store) {
        super(ip);
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.store = store;
    }

    /** Opens the port and keeps the entry in the store, as a process that starts. */
    final void begin() throws IOException {
        open();
        born = System.currentTimeMillis();
        seq = 0;
        life++;
        int own = life;
        beat();
        thread(() -> {
            while (true) {
                Thread.sleep(BEAT_MILLIS);
                if (life != own) {
                    return;
                }
                beat();
            }
        });
    }

    /** Ends like a process that is killed; the entry stays until it has been silent for three beats. */
    final void kill() throws IOException {
        life++;
        int own = life;
        crash();
        thread(() -> {
            Thread.sleep(3 * BEAT_MILLIS);
            if (life == own) {
                store.delete("servers", id);
            }
        });
    }

    final synchronized void beat() {
        seq++;
        store.put(
                "servers",
                id,
                Case.map(
                        "service", service,
                        "address", address(),
                        "zone", zone,
                        "version", version,
                        "slots", 64,
                        "state", state,
                        "cold_remaining_ms", 0,
                        "stage", "both",
                        "models", List.of(Map.of("name", "m", "version", 1, "adapters", List.of())),
                        "seq", seq,
                        "born", born));
    }

    @Override
    boolean handle(Socket socket, InputStream in) throws Exception {
        Message request = Message.readRequest(in);
        if (request == null || !request.complete) {
            return false;
        }
        if (!request.header("X-Masticfold-Target-Instance").equals(id)) {
            write(
                    socket,
                    "HTTP/1.1 421 Misdirected Request\r\nX-Masticfold-Instance-Id: " + id
                            + "\r\nContent-Length: 0\r\n\r\n");
            return true;
        }
        executed.add(request);
        return answer(request, socket, in);
    }

    /** Runs a request and answers it; returns false if the connection is to be closed. */
    abstract boolean answer(Message request, Socket socket, InputStream in) throws Exception;

    static String sealed(int status, Message request, String body) {
        return "HTTP/1.1 " + status + " X\r\nX-Masticfold-Attempt-Id: " + request.header("X-Masticfold-Attempt-Id")
                + "\r\nX-Masticfold-Response-Seal: 1.2." + body.length() + "\r\nContent-Length: " + body.length()
                + "\r\n\r\n" + body;
    }
}
