import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Sends requests to gateways, each attempt on a connection of its own. */
final class Client {

    /**
     * What became of an attempt.
     *
     * @param status status of the response; 0 if there was none
     * @param events events of a stream
     * @param complete whether the response was complete
     */
    record Answer(int status, int events, boolean complete, String retryAfter, String detail) {
        boolean served() {
            return status == 200 && complete;
        }
    }

    private Client() {}

    static Answer send(
            Gateway gateway, String method, String path, String host, Map<String, String> headers, byte[] body, long deadlineMillis) {
        Map<String, String> all = new LinkedHashMap<>();
        all.put("Host", host);
        all.putAll(headers);
        all.put("X-Masticfold-Deadline-Ms", Long.toString(deadlineMillis));
        int status = 0;
        int events = 0;
        String retryAfter = "";
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(gateway.ip, gateway.front), 1000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout((int) deadlineMillis + 500);
            Http.write(socket.getOutputStream(), method + " " + path + " HTTP/1.1", all, body);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Http.Message head = Http.head(in);
            status = head.status();
            retryAfter = head.header("retry-after");
            String text;
            if (head.header("transfer-encoding").equalsIgnoreCase("chunked")) {
                StringBuilder received = new StringBuilder();
                for (int size = Http.chunkSize(in); size > 0; size = Http.chunkSize(in)) {
                    received.append(new String(Http.exactly(in, size), StandardCharsets.UTF_8));
                    Http.line(in);
                    events = count(received);
                }
                Http.line(in);
                text = received.toString();
            } else {
                text = new String(
                        Http.exactly(in, Integer.parseInt(head.header("content-length"))), StandardCharsets.UTF_8);
            }
            return new Answer(status, events, true, retryAfter, status == 200 ? "" : text.trim());
        } catch (IOException | RuntimeException e) {
            return new Answer(status, events, false, retryAfter, String.valueOf(e.getMessage()));
        }
    }

    private static int count(CharSequence text) {
        int events = 0;
        String all = text.toString();
        for (int at = all.indexOf("\n\n"); at >= 0; at = all.indexOf("\n\n", at + 2)) {
            events++;
        }
        return events;
    }
}
