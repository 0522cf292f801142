import java.io.InputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of eight servers of a payment service fails part of its requests: it has booked the payment when it answers with a
 * 503 of its own, which does not say that the request was not run. Clients retry once after an answer that promises that
 * their request has not run.
 */
public final class FalsePromise extends Case {
    private static final int SERVERS = 8;
    private static final double FAILED_SHARE = 0.4;
    private static final int CLIENTS = 8;
    private static final int RUN_SECONDS = 20;

    /** Attempts that a server ran. */
    private final Set<String> ran = ConcurrentHashMap.newKeySet();
    /** Bookings of each payment. */
    private final Map<String, AtomicInteger> bookings = new ConcurrentHashMap<>();

    private final AtomicInteger falsePromises = new AtomicInteger();

    public static void main(String[] arguments) {
        main(new FalsePromise(), arguments);
    }

    private Message pay(Socket socket, String attempt, String payment) throws Exception {
        note("client sends " + attempt + " for " + payment);
        Listener.write(
                socket,
                head("POST", "/pay/confirm", attempt, 1000) + "Content-Length: " + payment.length() + "\r\n\r\n"
                        + payment);
        Message answer = Message.readResponse(socket.getInputStream());
        note("client gets for " + attempt + ": " + (answer == null ? "no answer" : answer.status()));
        if (answer != null && Set.of(408, 421, 429, 503).contains(answer.status()) && ran.contains(attempt)) {
            falsePromises.incrementAndGet();
            log("attempt " + attempt + " of payment " + payment + " has run and is answered " + answer.status()
                    + ", seal " + answer.header("X-Masticfold-Response-Seal"));
        }
        return answer;
    }

    @Override
    boolean run() throws Exception {
        for (int i = 1; i <= SERVERS; i++) {
            boolean failing = trouble && i == 1;
            new Server(Loopback.ip(100 + i), "ledger-" + i, "ledger", "z1", store) {
                @Override
                boolean answer(Message request, Socket socket, InputStream in) throws Exception {
                    Thread.sleep(20);
                    ran.add(request.header("X-Masticfold-Attempt-Id"));
                    bookings.computeIfAbsent(request.text(), _key -> new AtomicInteger())
                            .incrementAndGet();
                    note(id + " runs " + request.header("X-Masticfold-Attempt-Id") + ", books " + request.text());
                    boolean fails = failing && ThreadLocalRandom.current().nextDouble() < FAILED_SHARE;
                    if (fails) {
                        note(id + " answers " + request.header("X-Masticfold-Attempt-Id") + " with 503");
                    }
                    write(socket, fails ? sealed(503, request, "no receipt") : sealed(200, request, "booked"));
                    return true;
                }
            }.begin();
        }
        configure(1, List.of(route("pay", "unsafe", "ledger", 1000, 1)), List.of(service("ledger")));
        startGateways(2);
        long end = System.nanoTime() + RUN_SECONDS * 1_000_000_000L;
        AtomicInteger payments = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            Gateway gateway = gateways.get(i % gateways.size());
            clients.add(Listener.thread(() -> {
                while (System.nanoTime() < end) {
                    String payment = "payment-" + payments.incrementAndGet();
                    Message answer;
                    try (Socket socket = gateway.connect()) {
                        socket.setSoTimeout(2000);
                        answer = pay(socket, attempt(), payment);
                    }
                    if (answer != null && Set.of(408, 421, 429, 503).contains(answer.status())) {
                        String pause = answer.header("Retry-After");
                        Thread.sleep(pause.isEmpty() ? 100 : (long) (Double.parseDouble(pause) * 1000));
                        try (Socket socket = gateway.connect()) {
                            socket.setSoTimeout(2000);
                            pay(socket, attempt(), payment);
                        }
                    }
                    Thread.sleep(60);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        long twice = bookings.values().stream().filter(count -> count.get() > 1).count();
        log(payments + " payments; attempts that ran and were answered with a promise that they had not: "
                + falsePromises + "; payments booked twice by their clients' retries: " + twice);
        return falsePromises.get() > 0;
    }
}
