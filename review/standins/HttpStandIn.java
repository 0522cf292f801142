package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A server on a loopback port with one thread for each connection; subclasses write every byte of the answers. */
abstract class HttpStandIn implements AutoCloseable {

    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final int port;
    private volatile ServerSocket listener;

    HttpStandIn() throws IOException {
        this.listener = open(0);
        this.port = listener.getLocalPort();
        accept(listener);
    }

    private static ServerSocket open(int port) throws IOException {
        ServerSocket socket = new ServerSocket();
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 512);
        return socket;
    }

    final String address() {
        return "127.0.0.1:" + port;
    }

    private void accept(ServerSocket accepting) {
        daemon(() -> {
            while (!accepting.isClosed()) {
                try {
                    Socket socket = accepting.accept();
                    socket.setTcpNoDelay(true);
                    connections.add(socket);
                    daemon(() -> serve(socket));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    static Thread daemon(Runnable work) {
        Thread thread = new Thread(work);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Message request = Message.read(in);
            while (request != null && answer(request, socket)) {
                request = Message.read(in);
            }
        } catch (IOException | InterruptedException e) {
            // The caller closed the connection, or this server ended.
        } finally {
            connections.remove(socket);
        }
    }

    /** Answers a request; returns whether the connection stays open. */
    abstract boolean answer(Message request, Socket socket) throws IOException, InterruptedException;

    /** Ends like a process that exits: its connections are closed, and new ones are refused. */
    final void end() throws IOException {
        listener.close();
        for (Socket socket : connections) {
            socket.close();
        }
    }

    /** Listens again on the same port. */
    final void restart() throws IOException {
        listener = open(port);
        accept(listener);
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream out = socket.getOutputStream();
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    /** Writes an answer with a length; each header line ends with CRLF. */
    static void write(Socket socket, int status, String headers, String body) throws IOException {
        write(
                socket,
                "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: "
                        + body.getBytes(StandardCharsets.ISO_8859_1).length + "\r\n\r\n" + body);
    }

    @Override
    public void close() throws IOException {
        end();
    }
}
