import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A full server: rejects requests with a long body. It answers before it has read the body and reads on later, or, if
 * told so, reads the body first.
 */
final class EarlyServer {

    private static final AtomicInteger NUMBERS = new AtomicInteger();
    /** The windows of the links are small. */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private final String id;
    private final boolean early;
    private final long readsOnAfterMillis;
    private final ServerSocket listening;
    final AtomicInteger rejected = new AtomicInteger();

    EarlyServer(Store store, InetAddress ip, String service, String zone, boolean early, long readsOnAfterMillis)
            throws IOException {
        this.id = "i-" + service + "-" + NUMBERS.incrementAndGet();
        this.early = early;
        this.readsOnAfterMillis = readsOnAfterMillis;
        this.listening = new ServerSocket();
        listening.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listening.bind(new InetSocketAddress(ip, 0), 256);
        Threads.start("accept", this::accept);
        new Registration(store, id, service, ip.getHostAddress() + ":" + listening.getLocalPort(), zone, "v1", 6);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listening.accept();
            socket.setTcpNoDelay(true);
            Threads.start("connection", () -> serve(socket));
        }
    }

    private void serve(Socket open) throws IOException {
        try (Socket socket = open) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Http.Message request = Http.head(in);
                int length = request.header("content-length").isEmpty()
                        ? 0
                        : Integer.parseInt(request.header("content-length"));
                if (!early) {
                    in.skipNBytes(length);
                }
                Map<String, String> headers = new LinkedHashMap<>();
                headers.put("X-Masticfold-Attempt-Id", request.header("x-masticfold-attempt-id"));
                headers.put("X-Masticfold-Not-Executed", "1");
                headers.put("X-Masticfold-Server-Load", "6,24,6");
                Http.write(socket.getOutputStream(), "HTTP/1.1 503 Service Unavailable", headers, new byte[0]);
                rejected.incrementAndGet();
                Record.note(id + " rejects " + request.header("x-masticfold-attempt-id")
                        + (early ? " before it has read the body" : ""));
                if (early) {
                    Threads.sleep(readsOnAfterMillis);
                    in.skipNBytes(length);
                }
            }
        } catch (EOFException | SocketException e) {
            // The gateway has closed the connection.
        }
    }
}
