import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Minimal HTTP/1.1 on blocking sockets; one thread for each connection. */
final class Http {

    private Http() {}

    /** A request or a response. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = {};

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return start.split(" ")[0];
        }

        String uri() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("connection closed");
            }
            if (next != '\r') {
                out.write(next);
            }
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    static Message head(InputStream in) throws IOException {
        Message message = new Message();
        message.start = line(in);
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).trim().toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        return message;
    }

    static Message read(InputStream in) throws IOException {
        Message message = head(in);
        if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(exactly(in, size));
                line(in);
            }
            line(in);
            message.body = body.toByteArray();
        } else if (!message.header("content-length").isEmpty()) {
            message.body = exactly(in, Integer.parseInt(message.header("content-length")));
        }
        return message;
    }

    static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].trim(), 16);
    }

    static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("connection closed within a body");
        }
        return bytes;
    }

    static void write(OutputStream out, String start, Map<String, String> headers, byte[] body) throws IOException {
        StringBuilder text = new StringBuilder(start).append("\r\n");
        headers.forEach((name, value) -> text.append(name).append(": ").append(value).append("\r\n"));
        if (body != null) {
            text.append("Content-Length: ").append(body.length).append("\r\n");
        }
        text.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(text.toString().getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            all.write(body);
        }
        out.write(all.toByteArray());
        out.flush();
    }

    /** Serves one connection. */
    interface Handler {
        /** Answers a request; returns whether the connection stays open. */
        boolean serve(Message request, Connection connection) throws IOException;
    }

    /** A connection that was accepted. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        void reset() {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed.
            }
        }
    }

    /** A listening socket and its connections. */
    static final class Server {
        private final ServerSocket listening;
        private final Handler handler;
        private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

        Server(InetAddress ip, int port, Handler handler) throws IOException {
            this.handler = handler;
            this.listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(ip, port), 256);
            Threads.start("accept " + listening.getLocalPort(), this::accept);
        }

        int port() {
            return listening.getLocalPort();
        }

        private void accept() {
            while (!listening.isClosed()) {
                try {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    Connection connection = new Connection(socket);
                    connections.add(connection);
                    Threads.start("connection", () -> serve(connection));
                } catch (IOException e) {
                    return;
                }
            }
        }

        private void serve(Connection connection) {
            try (Socket socket = connection.socket) {
                while (handler.serve(read(connection.in), connection)) {
                    // The next request follows.
                }
            } catch (EOFException | SocketException e) {
                // The peer has closed the connection, or this server has.
            } catch (IOException e) {
                Record.note("connection failed: " + e);
            } finally {
                connections.remove(connection);
            }
        }

        /** Stops listening and resets all connections, as the end of a process does. */
        void crash() {
            try {
                listening.close();
            } catch (IOException e) {
                // It is closed.
            }
            connections.forEach(Connection::reset);
        }
    }
}
