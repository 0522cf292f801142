import java.io.InputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Servers of one service answer long uploads before they have read them, keep the connections and read on later. Short
 * requests of another service, whose servers are sound and quick, are timed meanwhile.
 */
public final class EarlyAnswers extends Case {
    private static final int BODY_BYTES = 4_190_000;
    private static final int UPLOADERS = 10;
    private static final int UPLOAD_PAUSE_MILLIS = 300;
    private static final int READ_ON_AFTER_MILLIS = 5000;
    private static final int TIMEOUT_MILLIS = 1000;
    private static final int DEADLINE_MILLIS = 5000;
    private static final int CLIENTS = 20;
    private static final int RUN_SECONDS = 30;

    private final List<Long> answerMillis = Collections.synchronizedList(new ArrayList<>());
    private final Map<String, Integer> results = new TreeMap<>();
    private int unansweredAtTimeout;
    private int unansweredHalfASecondLater;

    public static void main(String[] arguments) {
        main(new EarlyAnswers(), arguments);
    }

    private synchronized void count(String what) {
        results.merge(what, 1, Integer::sum);
    }

    private synchronized void timed(String attempt, long millis, String result) {
        answerMillis.add(millis);
        if (millis > TIMEOUT_MILLIS) {
            unansweredAtTimeout++;
            if (millis > TIMEOUT_MILLIS + 500) {
                unansweredHalfASecondLater++;
            }
            log("payment " + attempt + ": " + result + " after " + millis + " ms");
        }
    }

    @Override
    boolean run() throws Exception {
        for (int i = 1; i <= 4; i++) {
            new Server(Loopback.ip(100 + i), "scan-" + i, "scan", "z1", store) {
                @Override
                void configure(ServerSocket server) throws java.io.IOException {
                    server.setReceiveBufferSize(65536);
                }

                @Override
                boolean handle(Socket socket, InputStream in) throws Exception {
                    Message request = Message.readHead(in);
                    if (request == null) {
                        return false;
                    }
                    if (trouble) {
                        write(socket, sealed(200, request, "accepted"));
                        Thread.sleep(READ_ON_AFTER_MILLIS);
                        request.readBody(in, false);
                    } else {
                        request.readBody(in, false);
                        write(socket, sealed(200, request, "accepted"));
                    }
                    return true;
                }

                @Override
                boolean answer(Message request, Socket socket, InputStream in) {
                    return true;
                }
            }.begin();
            new Server(Loopback.ip(140 + i), "ledger-" + i, "ledger", "z1", store) {
                @Override
                boolean answer(Message request, Socket socket, InputStream in) throws Exception {
                    Thread.sleep(15);
                    write(socket, sealed(200, request, "x".repeat(800)));
                    return true;
                }
            }.begin();
        }
        configure(
                1,
                List.of(
                        route("scan", "unsafe", "scan", 4000, 1),
                        route("pay", "unsafe", "ledger", TIMEOUT_MILLIS, 1)),
                List.of(service("scan"), service("ledger")));
        startGateways(1);
        Gateway gateway = gateways.get(0);
        byte[] body = new byte[BODY_BYTES];
        long end = System.nanoTime() + RUN_SECONDS * 1_000_000_000L;
        for (int i = 0; i < UPLOADERS; i++) {
            Listener.thread(() -> {
                while (System.nanoTime() < end) {
                    try (Socket socket = gateway.connect()) {
                        socket.setSoTimeout(5000);
                        Listener.write(
                                socket,
                                head("POST", "/scan/1", attempt(), 4000) + "Content-Length: " + BODY_BYTES
                                        + "\r\n\r\n");
                        socket.getOutputStream().write(body);
                        Message answer = Message.readResponse(socket.getInputStream());
                        count("upload: " + (answer == null ? "closed" : answer.status()));
                    } catch (Exception e) {
                        count("upload: " + e.getClass().getSimpleName());
                    }
                    Thread.sleep(UPLOAD_PAUSE_MILLIS);
                }
            });
        }
        for (int i = 0; i < CLIENTS; i++) {
            Listener.thread(() -> {
                Socket socket = null;
                while (System.nanoTime() < end) {
                    String attempt = attempt();
                    long sent = System.nanoTime();
                    String result;
                    try {
                        if (socket == null) {
                            socket = gateway.connect();
                            socket.setSoTimeout(DEADLINE_MILLIS);
                        }
                        Listener.write(
                                socket,
                                head("POST", "/pay/1", attempt, DEADLINE_MILLIS) + "Content-Length: 0\r\n\r\n");
                        Message answer = Message.readResponse(socket.getInputStream());
                        result = answer == null ? "closed" : String.valueOf(answer.status());
                        if (answer == null || answer.header("Connection").equalsIgnoreCase("close")) {
                            socket.close();
                            socket = null;
                        }
                    } catch (Exception e) {
                        result = e.getClass().getSimpleName();
                        if (socket != null) {
                            socket.close();
                        }
                        socket = null;
                    }
                    count("payment: " + result);
                    timed(attempt, (System.nanoTime() - sent) / 1_000_000, result);
                    Thread.sleep(100);
                }
            });
        }
        while (System.nanoTime() < end) {
            Thread.sleep(1000);
            long asked = System.nanoTime();
            boolean ready = gateway.isReady();
            log("readiness " + ready + " after " + (System.nanoTime() - asked) / 1_000_000 + " ms; alive "
                    + gateway.alive());
        }
        Thread.sleep(DEADLINE_MILLIS);
        synchronized (this) {
            log(String.valueOf(results));
            log(answerMillis.size() + " payments; unanswered at the timeout of " + TIMEOUT_MILLIS + " ms: "
                    + unansweredAtTimeout + ", of which unanswered half a second later: "
                    + unansweredHalfASecondLater);
            log("lines of the gateway's log with OutOfMemoryError: "
                    + Files.readAllLines(Path.of(folder.toString(), gateway.node + ".log")).stream()
                            .filter(line -> line.contains("OutOfMemoryError"))
                            .count());
            // Eight or more, and over a quarter of those that last longer than the route's timeout.
            return unansweredHalfASecondLater >= 8 && unansweredHalfASecondLater * 4 > unansweredAtTimeout;
        }
    }
}
