import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;

/** A server of plain requests. */
final class AppServer {

    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private final String id;
    private final long workMillis;
    private final BiConsumer<String, String> onArrival;
    private final int answerBytes;
    private final Http.Server server;
    final Registration registration;

    /**
     * Starts a server.
     *
     * @param onArrival told the id of the server and the attempt of each request that reaches it
     */
    AppServer(
            Store store,
            InetAddress ip,
            String service,
            String zone,
            long workMillis,
            BiConsumer<String, String> onArrival)
            throws IOException {
        this(store, ip, service, zone, workMillis, onArrival, 800);
    }

    AppServer(
            Store store,
            InetAddress ip,
            String service,
            String zone,
            long workMillis,
            BiConsumer<String, String> onArrival,
            int answerBytes)
            throws IOException {
        this.answerBytes = answerBytes;
        this.id = "i-" + service + "-" + NUMBERS.incrementAndGet();
        this.workMillis = workMillis;
        this.onArrival = onArrival;
        this.server = new Http.Server(ip, 0, this::serve);
        this.registration =
                new Registration(store, id, service, ip.getHostAddress() + ":" + server.port(), zone, "v1", 6);
    }

    String id() {
        return id;
    }

    /** Ends the server, with all its connections. */
    void exit() {
        server.crash();
    }

    private boolean serve(Http.Message request, Http.Connection connection) throws IOException {
        String attempt = request.header("x-masticfold-attempt-id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Masticfold-Attempt-Id", attempt);
        headers.put("X-Masticfold-Server-Load", "1,0,6");
        String expected = request.header("x-masticfold-target-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            headers.put("X-Masticfold-Instance-Id", id);
            Http.write(connection.out, "HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
            return true;
        }
        if (request.uri().equals("/health")) {
            headers.put("X-Masticfold-Instance-Id", id);
            Http.write(connection.out, "HTTP/1.1 200 OK", headers, new byte[0]);
            return true;
        }
        onArrival.accept(id, attempt);
        Threads.sleep(workMillis);
        headers.put("X-Masticfold-Response-Seal", "3e1b." + attempt);
        Http.write(
                connection.out,
                "HTTP/1.1 200 OK",
                headers,
                answer(attempt, answerBytes));
        return true;
    }

    /** Returns the body that belongs to an attempt. */
    static byte[] answer(String attempt, int bytes) {
        StringBuilder text = new StringBuilder(bytes + 32);
        while (text.length() < bytes) {
            text.append(attempt).append(' ');
        }
        return text.substring(0, bytes).getBytes(StandardCharsets.US_ASCII);
    }
}
