package io.masticfold.agent;

import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import java.net.InetSocketAddress;

/**
 * Notifies a call when its connection could not be established. The exception of the HTTP client alone does not tell a
 * connect failure from a later one.
 */
final class ConnectFailureInspector extends HttpClient.JmxInspector {

    @Override
    public void onResolveError(HttpRequest request, Exception failure) {
        super.onResolveError(request, failure);
        connectFailed(request);
    }

    @Override
    public void onConnectError(HttpRequest request, InetSocketAddress address, Exception failure) {
        super.onConnectError(request, address, failure);
        connectFailed(request);
    }

    private static void connectFailed(HttpRequest request) {
        HttpTargetCall call = request.getAttachment(HttpTargetCall.class);
        if (call != null) {
            call.connectFailed();
        }
    }
}
