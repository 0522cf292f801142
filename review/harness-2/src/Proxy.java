import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/** Forwards connections to one address; those that are open may go silent, without a close or a reset. */
final class Proxy {

    private static final class Pair {
        final Socket near;
        final Socket far;
        volatile boolean silent;

        Pair(Socket near, Socket far) {
            this.near = near;
            this.far = far;
        }
    }

    private final ServerSocket listening;
    private final InetSocketAddress target;
    private final Consumer<String> onRequest;
    private final Set<Pair> pairs = ConcurrentHashMap.newKeySet();

    /**
     * Starts a proxy.
     *
     * @param onRequest told the first line of what a caller sends at once
     */
    Proxy(InetAddress ip, InetSocketAddress target, Consumer<String> onRequest) throws IOException {
        this.target = target;
        this.onRequest = onRequest;
        this.listening = new ServerSocket();
        listening.bind(new InetSocketAddress(ip, 0), 256);
        Threads.start("proxy", this::accept);
    }

    int port() {
        return listening.getLocalPort();
    }

    private void accept() throws IOException {
        while (true) {
            Socket near = listening.accept();
            Socket far = new Socket();
            far.connect(target, 1000);
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            Pair pair = new Pair(near, far);
            pairs.add(pair);
            Threads.start("to the store", () -> pump(pair, near, far, true));
            Threads.start("from the store", () -> pump(pair, far, near, false));
        }
    }

    private void pump(Pair pair, Socket from, Socket to, boolean requests) {
        byte[] buffer = new byte[64 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (!pair.silent) {
                    out.write(buffer, 0, read);
                    out.flush();
                    if (requests) {
                        String text = new String(buffer, 0, read, StandardCharsets.ISO_8859_1);
                        onRequest.accept(text.substring(0, Math.max(0, text.indexOf('\r'))));
                    }
                }
            }
        } catch (IOException e) {
            // One side has closed or reset its connection.
        }
        if (!pair.silent) {
            pairs.remove(pair);
            for (Socket socket : List.of(pair.near, pair.far)) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // It is closed.
                }
            }
        }
    }

    /** Makes all open connections silent; returns their number. New ones work. */
    int silence() {
        int count = 0;
        for (Pair pair : pairs) {
            pair.silent = true;
            count++;
        }
        return count;
    }
}
