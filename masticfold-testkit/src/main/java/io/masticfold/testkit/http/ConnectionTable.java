package io.masticfold.testkit.http;

import io.activej.http.HttpServer;
import io.activej.http.HttpServerConnection;
import io.activej.net.socket.tcp.TcpSocket;
import java.io.IOException;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Maps HTTP connections to their sockets, so that a connection can be cut at any point. The server announces the socket
 * first and then, in the same task of the event loop, the HTTP connection on it.
 */
final class ConnectionTable extends HttpServer.JmxInspector {

    private final Map<HttpServerConnection, TcpSocket> sockets = new HashMap<>();
    private final Set<HttpServerConnection> cutAfterAnswer = new HashSet<>();
    private final AcceptedSocket accepted;

    ConnectionTable(AcceptedSocket accepted) {
        this.accepted = accepted;
    }

    void cut(HttpServerConnection connection) {
        TcpSocket socket = sockets.get(connection);
        if (socket != null) {
            socket.closeEx(new IOException("connection cut by a fault switch"));
        }
    }

    void cutAfterAnswer(HttpServerConnection connection) {
        cutAfterAnswer.add(connection);
    }

    void cutAll() {
        List.copyOf(sockets.keySet()).forEach(this::cut);
    }

    int size() {
        return sockets.size();
    }

    @Override
    public void onAccept(HttpServerConnection connection) {
        super.onAccept(connection);
        TcpSocket socket = accepted.take();
        if (socket != null) {
            sockets.put(connection, socket);
        }
    }

    @Override
    public void onHttpResponseComplete(HttpServerConnection connection) {
        super.onHttpResponseComplete(connection);
        if (cutAfterAnswer.remove(connection)) {
            cut(connection);
        }
    }

    @Override
    public void onDisconnect(HttpServerConnection connection) {
        super.onDisconnect(connection);
        sockets.remove(connection);
        cutAfterAnswer.remove(connection);
    }
}
