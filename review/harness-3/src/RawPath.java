import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Clients send paths and queries whose letters beyond ASCII are not percent-encoded, as UTF-8. */
public final class RawPath extends Case {
    private final Map<String, String> received = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        main(new RawPath(), arguments);
    }

    @Override
    boolean run() throws Exception {
        new Server(Loopback.ip(101), "shops-1", "shops", "z1", store) {
            @Override
            boolean answer(Message request, Socket socket, InputStream in) throws Exception {
                received.put(request.header("X-Masticfold-Attempt-Id"), request.target());
                write(socket, sealed(200, request, "ok"));
                return true;
            }
        }.begin();
        configure(1, List.of(route("shop", "safe", "shops", 1000, 2)), List.of(service("shops")));
        startGateways(1);
        String[] targets = trouble
                ? new String[] {"/shop/año", "/shop/stock?name=señor", "/shop/Córdoba/té"}
                : new String[] {"/shop/a%C3%B1o", "/shop/stock?name=se%C3%B1or", "/shop/C%C3%B3rdoba/t%C3%A9"};
        Map<String, String> sent = new HashMap<>();
        int changed = 0;
        for (String target : targets) {
            String attempt = attempt();
            // Messages are read and written byte by byte, so that a character stands for a byte.
            String bytes = new String(target.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
            sent.put(attempt, bytes);
            Message answer = call(gateways.get(0), head("GET", bytes, attempt, 1000) + "\r\n", 2000);
            String seen = received.get(attempt);
            log(attempt + " sent " + hex(bytes) + "; answer " + (answer == null ? "none" : answer.start)
                    + "; the server ran " + (seen == null ? "nothing" : hex(seen)));
            if (seen != null && !seen.equals(bytes)) {
                changed++;
            }
        }
        log(changed + " of " + targets.length + " requests ran with another path or query than the client sent");
        return changed > 0;
    }

    private static String hex(String bytes) {
        StringBuilder text = new StringBuilder();
        for (char c : bytes.toCharArray()) {
            text.append(c < 0x80 ? String.valueOf(c) : String.format("\\x%02x", (int) c));
        }
        return text.toString();
    }
}
