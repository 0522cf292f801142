package io.masticfold.testkit.http;

import io.activej.net.socket.tcp.TcpSocket;
import org.jspecify.annotations.Nullable;

/** Remembers the socket accepted last until the HTTP connection on it is announced. */
final class AcceptedSocket extends TcpSocket.JmxInspector {

    private @Nullable TcpSocket accepted;

    @Nullable
    TcpSocket take() {
        TcpSocket socket = accepted;
        accepted = null;
        return socket;
    }

    @Override
    public void onConnect(TcpSocket socket) {
        super.onConnect(socket);
        accepted = socket;
    }
}
