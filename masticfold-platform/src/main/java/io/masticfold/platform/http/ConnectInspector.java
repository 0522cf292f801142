package io.masticfold.platform.http;

import io.activej.http.HttpClient;
import io.activej.http.HttpRequest;
import java.net.InetSocketAddress;

/** Records connect failures in the {@link PendingCall}, because the client's exception does not distinguish them. */
final class ConnectInspector extends HttpClient.JmxInspector {

    @Override
    public void onResolveError(HttpRequest request, Exception failure) {
        super.onResolveError(request, failure);
        recordConnectFailure(request);
    }

    @Override
    public void onConnectError(HttpRequest request, InetSocketAddress address, Exception failure) {
        super.onConnectError(request, address, failure);
        recordConnectFailure(request);
    }

    private static void recordConnectFailure(HttpRequest request) {
        PendingCall pending = request.getAttachment(PendingCall.class);
        if (pending != null) {
            pending.connectFailed();
        }
    }
}
