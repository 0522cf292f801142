package io.masticfold.gateway.store;

import io.masticfold.core.time.Cancellable;
import io.masticfold.core.time.Scheduler;
import io.masticfold.gateway.http.BufferedCall;
import io.masticfold.gateway.http.CallResult;
import io.masticfold.gateway.http.ConnectionChoice;
import io.masticfold.gateway.http.HttpClient;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.function.Consumer;

/** HTTP client of the platform's object store. */
public final class ObjectStoreClient {

    private static final byte[] NO_BODY = {};

    private final HttpClient client;
    private final Scheduler scheduler;
    private final InetSocketAddress address;

    /**
     * Creates a client.
     *
     * @param address address of the store
     */
    public ObjectStoreClient(HttpClient client, Scheduler scheduler, InetSocketAddress address) {
        this.client = client;
        this.scheduler = scheduler;
        this.address = address;
        client.neverHoldBack(address);
    }

    /**
     * Sends a GET request and passes the result to the receiver.
     *
     * @return cancels the call and closes its connection; the receiver is then not called
     */
    public Cancellable read(String uri, Duration timeout, Consumer<CallResult> receiver) {
        return call(HttpMethod.GET, uri, NO_BODY, timeout, receiver);
    }

    /** Closes the idle connections to the store, so that the next calls open new ones. */
    void closeIdleConnections() {
        client.closeIdle(address);
    }

    /** Sends a POST request that creates an object and passes the result to the receiver. */
    public void create(String uri, byte[] body, Duration timeout, Consumer<CallResult> receiver) {
        call(HttpMethod.POST, uri, body, timeout, receiver);
    }

    /** Sends a PUT request that replaces an object that exists and passes the result to the receiver. */
    public void replace(String uri, byte[] body, Duration timeout, Consumer<CallResult> receiver) {
        call(HttpMethod.PUT, uri, body, timeout, receiver);
    }

    /** Sends a DELETE request for an object and passes the result to the receiver. */
    public void delete(String uri, Duration timeout, Consumer<CallResult> receiver) {
        call(HttpMethod.DELETE, uri, NO_BODY, timeout, receiver);
    }

    private Cancellable call(
            HttpMethod method, String uri, byte[] body, Duration timeout, Consumer<CallResult> receiver) {
        return BufferedCall.start(
                client,
                scheduler,
                address,
                BufferedCall.request(method, uri, address, body),
                ConnectionChoice.REUSE,
                timeout,
                result -> {
                    if (result instanceof CallResult.Failed failed && failed.silent()) {
                        closeIdleConnections();
                    }
                    receiver.accept(result);
                });
    }
}
