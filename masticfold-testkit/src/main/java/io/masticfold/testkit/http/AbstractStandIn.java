package io.masticfold.testkit.http;

import com.fasterxml.jackson.databind.JsonNode;
import io.activej.eventloop.Eventloop;
import io.activej.http.AsyncServlet;
import io.activej.http.HttpError;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Runs an HTTP server on an event loop of its own. All state of a stand-in is confined to that loop; methods for tests
 * hand over to it and wait.
 *
 * @param <F> type of the fault switches
 */
public abstract class AbstractStandIn<F extends Enum<F> & Fault> implements StandIn {

    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int BAD_REQUEST = 400;
    private static final String FAULTS_PATH = "/v1/faults";
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(5);

    private final Eventloop eventloop;
    private final FaultSwitches<F> faults;
    private final AcceptedSocket accepted = new AcceptedSocket();
    private final ConnectionTable connections = new ConnectionTable(accepted);
    private volatile InetSocketAddress address;
    private @Nullable Thread thread;
    private @Nullable HttpServer server;

    /**
     * Creates a stand-in.
     *
     * @param name name of its thread
     * @param address address to listen on; port 0 chooses a free one
     * @param faultType type of the fault switches
     */
    protected AbstractStandIn(String name, InetSocketAddress address, Class<F> faultType) {
        this.address = address;
        this.faults = new FaultSwitches<>(faultType);
        this.eventloop = Eventloop.builder().withThreadName(name).build();
    }

    @Override
    public final void start() throws IOException {
        eventloop.keepAlive(true);
        thread = new Thread(eventloop, "stand-in");
        thread.setDaemon(true);
        thread.start();
        try {
            eventloop.submit(this::listen).join();
        } catch (CompletionException e) {
            stop();
            throw new IOException("cannot listen on " + address, e.getCause());
        }
    }

    @Override
    public final void stop() {
        run(() -> {
            close();
            connections.cutAll();
        });
        eventloop.keepAlive(false);
        eventloop.execute(eventloop::breakEventloop);
    }

    @Override
    public final InetSocketAddress address() {
        return address;
    }

    /** Sets a fault switch; returns once it takes effect. */
    public final void fault(F fault, long value) {
        run(() -> apply(fault, value));
        if (rejects(fault, value)) {
            awaitClosed();
        }
    }

    /** Sets all fault switches to no effect. */
    public final void clearFaults() {
        run(() -> {
            faults.reset();
            onFaultsChanged();
        });
    }

    /** Cuts all open connections. */
    public final void cutConnections() {
        run(connections::cutAll);
    }

    /** Adds the routes of the stand-in. */
    protected abstract void routes(RoutingServlet.Builder routes);

    /** Reacts to a switch that acts at once, such as turning cold. */
    protected void onFault(F fault, long value) {
        if (rejects(fault, value)) {
            rejectFor(value);
        }
        onFaultsChanged();
    }

    /** Reacts to any change of the switches. */
    protected void onFaultsChanged() {}

    /** Returns the fault switches. */
    protected final FaultSwitches<F> faults() {
        return faults;
    }

    /** Returns the event loop. */
    protected final Eventloop eventloop() {
        return eventloop;
    }

    /** Cuts the connection of a request; the answer never arrives. */
    protected final Promise<HttpResponse> cut(HttpRequest request) {
        connections.cut(request.getConnection());
        return new SettablePromise<>();
    }

    /** Cuts the connection of a request once its answer has been written. */
    protected final void cutAfterAnswer(HttpRequest request) {
        connections.cutAfterAnswer(request.getConnection());
    }

    /** Runs a task on the event loop and waits for it. */
    protected final void run(Runnable task) {
        call(() -> {
            task.run();
            return Boolean.TRUE;
        });
    }

    /** Computes a value on the event loop and waits for it. */
    protected final <T> T call(Supplier<T> task) {
        if (eventloop.inReactorThread()) {
            return task.get();
        }
        return eventloop.submit(() -> Promise.of(task.get())).join();
    }

    /** Loads the body of a request. */
    protected static Promise<byte[]> body(HttpRequest request) {
        return request.loadBody(MAX_BODY_BYTES).map(buffer -> buffer.getArray());
    }

    private void listen() throws IOException {
        RoutingServlet.Builder routes = RoutingServlet.builder(eventloop)
                .with(HttpMethod.GET, FAULTS_PATH, _request -> JsonSupport.ok(faults.json())
                        .toPromise())
                .with(HttpMethod.PUT, FAULTS_PATH, this::changeFaults);
        routes(routes);
        AsyncServlet servlet = routes.build();
        HttpServer created = HttpServer.builder(eventloop, request -> serve(servlet, request))
                .withListenAddress(address)
                .withInspector(connections)
                .withSocketInspector(accepted)
                .build();
        created.listen();
        address = created.getBoundAddresses().get(0);
        server = created;
    }

    private Promise<HttpResponse> serve(AsyncServlet servlet, HttpRequest request) throws Exception {
        return servlet.serve(request).then(Promise::of, AbstractStandIn::answerOf);
    }

    private static Promise<HttpResponse> answerOf(Exception failure) {
        if (failure instanceof HttpError error) {
            return JsonSupport.answer(
                            error.getCode(), JsonSupport.object().put("message", String.valueOf(error.getMessage())))
                    .toPromise();
        }
        return Promise.ofException(failure);
    }

    private Promise<HttpResponse> changeFaults(HttpRequest request) {
        return body(request).then(bytes -> {
            for (Map.Entry<String, JsonNode> change : JsonSupport.parse(bytes).properties()) {
                apply(find(change.getKey()), change.getValue().asLong());
            }
            return JsonSupport.ok(faults.json()).toPromise();
        });
    }

    private F find(String code) throws HttpError {
        try {
            return faults.find(code);
        } catch (IllegalArgumentException e) {
            throw HttpError.ofCode(BAD_REQUEST, e.getMessage(), e);
        }
    }

    private void apply(F fault, long value) {
        faults.set(fault, value);
        onFault(fault, value);
    }

    private boolean rejects(F fault, long value) {
        return fault.code().equals("rejectMillis") && value > 0;
    }

    /**
     * Waits until connections are refused. The kernel closes a listening socket only when the selector of its loop has
     * removed it, which happens after {@code close} has returned.
     */
    private void awaitClosed() {
        long end = System.nanoTime() + CLOSE_TIMEOUT.toNanos();
        while (System.nanoTime() - end < 0) {
            try (Socket probe = new Socket()) {
                probe.connect(address, (int) CLOSE_TIMEOUT.toMillis());
            } catch (IOException e) {
                return;
            }
        }
        throw new IllegalStateException(address + " still accepts connections");
    }

    private void rejectFor(long millis) {
        close();
        connections.cutAll();
        eventloop.delay(millis, this::listenAgain);
    }

    private void listenAgain() {
        try {
            listen();
        } catch (IOException e) {
            TestkitEvent.LISTEN_FAILED.log(TestkitEvent.LOGGER, address, e.getMessage());
        }
    }

    private void close() {
        HttpServer current = server;
        server = null;
        if (current != null) {
            current.close();
        }
    }
}
