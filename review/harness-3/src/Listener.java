import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** An HTTP server with one thread for each connection. */
abstract class Listener {
    private ServerSocket server;
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final String ip;
    private int port;

    Listener(String ip) {
        this.ip = ip;
    }

    /** Listens, on the port that it had before if it was open once. */
    final void open() throws IOException {
        server = new ServerSocket();
        server.setReuseAddress(true);
        configure(server);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 1024);
        port = server.getLocalPort();
        ServerSocket own = server;
        thread(() -> {
            while (true) {
                Socket socket = own.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                thread(() -> serve(socket));
            }
        });
    }

    void configure(ServerSocket _unused) throws IOException {}

    final String address() {
        return ip + ":" + port;
    }

    private void serve(Socket socket) throws Exception {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            boolean again = true;
            while (again) {
                again = handle(socket, in);
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** Reads and answers one request; returns false if the connection is to be closed. */
    abstract boolean handle(Socket socket, InputStream in) throws Exception;

    /** Ends like a process that is killed: the port closes and each open connection is reset. */
    final void crash() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            reset(socket);
        }
    }

    static void reset(Socket socket) throws IOException {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The socket is closed.
        }
        socket.close();
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    interface Task {
        void run() throws Exception;
    }

    static Thread thread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // The connection or the test has ended.
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
