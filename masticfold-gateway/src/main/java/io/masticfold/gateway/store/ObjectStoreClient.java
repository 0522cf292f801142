package io.masticfold.gateway.store;

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

    /** Sends a GET request and passes the result to the receiver. */
    public void read(String uri, Duration timeout, Consumer<CallResult> receiver) {
        call(HttpMethod.GET, uri, NO_BODY, timeout, receiver);
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

    private void call(HttpMethod method, String uri, byte[] body, Duration timeout, Consumer<CallResult> receiver) {
        BufferedCall.start(
                client,
                scheduler,
                address,
                BufferedCall.request(method, uri, address, body),
                ConnectionChoice.REUSE,
                timeout,
                receiver);
    }
}
