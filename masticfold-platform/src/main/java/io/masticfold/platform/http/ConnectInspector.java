package io.masticfold.platform.http;

import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import java.net.InetSocketAddress;

/** Records connect failures in the {@link Exchange}, because the client's exception does not distinguish them. */
final class ConnectInspector extends HttpClient.JmxInspector {

    @Override
    public void onResolveError(HttpRequest request, Exception failure) {
        super.onResolveError(request, failure);
        noteConnectFailure(request);
    }

    @Override
    public void onConnectError(HttpRequest request, InetSocketAddress address, Exception failure) {
        super.onConnectError(request, address, failure);
        noteConnectFailure(request);
    }

    private static void noteConnectFailure(HttpRequest request) {
        Exchange exchange = request.getAttachment(Exchange.class);
        if (exchange != null) {
            exchange.connectFailed();
        }
    }
}
