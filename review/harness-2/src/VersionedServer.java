import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A model server that may go down and come up again under its id and address, with another software version. */
final class VersionedServer {

    private static final int EVENTS = 20;
    private static final long GAP_MILLIS = 150;

    private final Store store;
    private final InetAddress ip;
    private final String id;
    private final String zone;
    private final int port;
    private volatile String version;
    private volatile Http.Server server;
    private Map<String, Object> spec;

    VersionedServer(Store store, InetAddress ip, String id, String zone, String version) throws IOException {
        this.store = store;
        this.ip = ip;
        this.id = id;
        this.zone = zone;
        this.version = version;
        this.port = Gateway.freePort(ip);
        this.server = new Http.Server(ip, port, this::serve);
        register();
    }

    private synchronized void register() {
        spec = new LinkedHashMap<>();
        spec.put("service", "llm");
        spec.put("address", ip.getHostAddress() + ":" + port);
        spec.put("zone", zone);
        spec.put("version", version);
        spec.put("slots", 64);
        spec.put("state", "ready");
        spec.put("cold_remaining_ms", 0);
        spec.put("seq", 1);
        spec.put("born", System.currentTimeMillis());
        store.put("servers", id, spec);
    }

    /**
     * Goes down now and comes up again.
     *
     * @param downMillis time until it serves again
     * @param registersAfterMillis time after that until it writes its entry
     */
    void restart(String nextVersion, long downMillis, long registersAfterMillis) {
        server.crash();
        Record.note(id + " goes down with " + version);
        Threads.start("up", () -> {
            Threads.sleep(downMillis);
            version = nextVersion;
            server = new Http.Server(ip, port, this::serve);
            Record.note(id + " serves again, with " + version);
            Threads.sleep(registersAfterMillis);
            register();
            Record.note(id + " has written its entry, with " + version);
        });
    }

    private boolean serve(Http.Message request, Http.Connection connection) throws IOException {
        String own = version;
        String attempt = request.header("x-masticfold-attempt-id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Masticfold-Attempt-Id", attempt);
        headers.put("X-Masticfold-Server-Load", "1,0,64");
        if (!request.header("x-masticfold-target-instance").equals(id)) {
            headers.put("X-Masticfold-Instance-Id", id);
            Http.write(connection.out, "HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
            return true;
        }
        String last = request.header("last-event-id");
        int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
        Record.note("run " + attempt + " at " + id + " with " + own + " from event " + from);
        headers.put("X-Masticfold-Response-Seal", "3e1b." + attempt);
        headers.put("X-Masticfold-Weight-Versions", "1");
        headers.put("Content-Type", "text/event-stream");
        headers.put("Transfer-Encoding", "chunked");
        Threads.sleep(60);
        Http.write(connection.out, "HTTP/1.1 200 OK", headers, null);
        for (int event = from; event <= EVENTS; event++) {
            byte[] text =
                    ("id: " + event + "\ndata: token of " + own + "\n\n").getBytes(StandardCharsets.UTF_8);
            connection.out.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            connection.out.write(text);
            connection.out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            connection.out.flush();
            Threads.sleep(GAP_MILLIS);
        }
        connection.out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        connection.out.flush();
        return true;
    }
}
