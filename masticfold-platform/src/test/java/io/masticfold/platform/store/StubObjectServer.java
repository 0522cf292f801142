package io.masticfold.platform.store;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** HTTP server that stubs the object API with canned responses. */
final class StubObjectServer implements AutoCloseable {

    /** A canned response; status 0 closes the connection, a negative status sends no response. */
    record Answer(int status, String body) {}

    private static final int CUT = 0;

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final CountDownLatch closed = new CountDownLatch(1);
    private final Map<String, Answer> answers = new ConcurrentHashMap<>();
    private final AtomicInteger calls = new AtomicInteger();
    private final Set<InetSocketAddress> clients = ConcurrentHashMap.newKeySet();
    private volatile String lastCall = "";
    private volatile Answer fallback = new Answer(404, "");

    StubObjectServer() throws IOException {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        server.setExecutor(threads);
        server.createContext("/", this::handle);
        server.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    void answer(String methodAndPath, int status, String body) {
        answers.put(methodAndPath, new Answer(status, body));
    }

    void answerAll(int status, String body) {
        fallback = new Answer(status, body);
    }

    int calls() {
        return calls.get();
    }

    /** Returns the number of client connections that sent a request. */
    int connections() {
        return clients.size();
    }

    String lastCall() {
        return lastCall;
    }

    private void handle(HttpExchange exchange) throws IOException {
        calls.incrementAndGet();
        clients.add(exchange.getRemoteAddress());
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String call = exchange.getRequestMethod() + ' ' + exchange.getRequestURI();
        lastCall = call + " If-Match=" + exchange.getRequestHeaders().getFirst("If-Match") + ' ' + body;
        Answer answer = answers.getOrDefault(call, fallback);
        if (answer.status() < 0) {
            awaitClose();
        }
        if (answer.status() <= CUT) {
            exchange.close();
            return;
        }
        byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Retry-After", "3");
        exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private void awaitClose() {
        try {
            closed.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        closed.countDown();
        server.stop(0);
        threads.shutdownNow();
    }
}
