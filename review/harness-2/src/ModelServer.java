import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Predicate;

/** A model server: answers a request by a stream of events, and may crash as it begins an answer. */
final class ModelServer {

    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private final Store store;
    private final InetAddress ip;
    private final String service;
    private final String zone;
    private final int events;
    private final long firstEventMillis;
    private final long gapMillis;
    private final Predicate<Http.Message> crashes;
    private final Runnable onCrash;
    private final long downMillis;
    private final boolean requiresInputs;
    private volatile Registration registration;
    private volatile Http.Server server;
    private boolean down;

    /**
     * Starts a server.
     *
     * @param crashes tells the requests at which the server crashes when it begins to write the answer
     * @param downMillis time for which it is down after a crash
     */
    ModelServer(
            Store store,
            InetAddress ip,
            String service,
            String zone,
            int events,
            long firstEventMillis,
            long gapMillis,
            Predicate<Http.Message> crashes,
            Runnable onCrash,
            long downMillis)
            throws IOException {
        this(store, ip, service, zone, events, firstEventMillis, gapMillis, crashes, onCrash, downMillis, false);
    }

    /**
     * Starts a server of routes with stages or without.
     *
     * @param requiresInputs whether it rejects requests without handles of stage results
     */
    ModelServer(
            Store store,
            InetAddress ip,
            String service,
            String zone,
            int events,
            long firstEventMillis,
            long gapMillis,
            Predicate<Http.Message> crashes,
            Runnable onCrash,
            long downMillis,
            boolean requiresInputs)
            throws IOException {
        this.requiresInputs = requiresInputs;
        this.store = store;
        this.ip = ip;
        this.service = service;
        this.zone = zone;
        this.events = events;
        this.firstEventMillis = firstEventMillis;
        this.gapMillis = gapMillis;
        this.crashes = crashes;
        this.onCrash = onCrash;
        this.downMillis = downMillis;
        start();
    }

    private synchronized void start() throws IOException {
        down = false;
        server = new Http.Server(ip, 0, this::serve);
        registration = new Registration(
                store,
                "i-" + service + "-" + NUMBERS.incrementAndGet(),
                service,
                ip.getHostAddress() + ":" + server.port(),
                zone,
                "v1",
                64);
    }

    private boolean serve(Http.Message request, Http.Connection connection) throws IOException {
        String id = registration.id;
        if (request.uri().equals("/health") || request.uri().equals("/-/report")) {
            Http.write(
                    connection.out,
                    "HTTP/1.1 200 OK",
                    Map.of("X-Masticfold-Instance-Id", id, "Content-Type", "application/json"),
                    "{\"stage\":\"both\",\"waiting\":0,\"running\":0,\"busy\":false}".getBytes(StandardCharsets.UTF_8));
            return true;
        }
        String attempt = request.header("x-masticfold-attempt-id");
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Masticfold-Attempt-Id", attempt);
        headers.put("X-Masticfold-Server-Load", "1,0,64");
        String expected = request.header("x-masticfold-target-instance");
        if (!expected.isEmpty() && !expected.equals(id)) {
            headers.put("X-Masticfold-Instance-Id", id);
            Http.write(connection.out, "HTTP/1.1 421 Misdirected Request", headers, new byte[0]);
            return true;
        }
        if (requiresInputs && request.header("x-masticfold-inputs").isEmpty()) {
            Record.note(id + " rejects " + attempt + ": X-Masticfold-Inputs is missing");
            headers.put("X-Masticfold-Not-Executed", "1");
            Http.write(connection.out, "HTTP/1.1 400 Bad Request", headers, new byte[0]);
            return true;
        }
        Record.note("run " + attempt + " at " + id + " tenant " + request.header("x-masticfold-tenant") + " prompt "
                + request.header("x-masticfold-prompt-prefix"));
        Threads.sleep(firstEventMillis);
        if (crashes.test(request)) {
            crash(attempt);
            return false;
        }
        headers.put("X-Masticfold-Response-Seal", "3e1b." + attempt);
        headers.put("X-Masticfold-Weight-Versions", "1");
        headers.put("Content-Type", "text/event-stream");
        headers.put("Transfer-Encoding", "chunked");
        Http.write(connection.out, "HTTP/1.1 200 OK", headers, null);
        for (int event = 1; event <= events; event++) {
            if (event > 1) {
                Threads.sleep(gapMillis);
            }
            byte[] text = ("id: " + event + "\ndata: token " + event + "\n\n").getBytes(StandardCharsets.UTF_8);
            connection.out.write((Integer.toHexString(text.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            connection.out.write(text);
            connection.out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            connection.out.flush();
        }
        connection.out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        connection.out.flush();
        return true;
    }

    private void crash(String attempt) {
        synchronized (this) {
            if (down) {
                return;
            }
            down = true;
            Record.note("crash of " + registration.id + " at " + attempt);
            onCrash.run();
            registration.fallSilent();
            server.crash();
        }
        Threads.start("restart", () -> {
            Threads.sleep(downMillis);
            start();
            Record.note("server is back as " + registration.id);
        });
    }
}
