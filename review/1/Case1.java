package review;

import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** The operator takes away every key of the only tenant. Requests with these keys, and with any other, must get 401. */
final class Case1 extends Case {

    /** Bound of the pages, from the acknowledgement of a version, with a second more for the clients' own way. */
    private static final long CONFIG_MILLIS = 2000 + 1000;

    private static final String NEVER_GIVEN = "jd83hf6sn2kq0bzx17wv";
    private static final String FIRST = "9dnn2ctnfzs989anu6ws";
    private static final String SECOND = "jnbanfqasnmgkcuyj8pj";

    private final List<String> runs = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] arguments) {
        main(new Case1(), arguments);
    }

    @Override
    boolean run() throws Exception {
        Store store = new Store();
        HttpStandIn server = new HttpStandIn() {
            @Override
            boolean answer(Message request, Socket socket) throws IOException {
                runs.add(request.header("X-Masticfold-Attempt-Id"));
                record.line(
                        "server runs %s %s, tenant '%s'",
                        request.header("X-Masticfold-Attempt-Id"),
                        request.startLine,
                        request.header("X-Masticfold-Tenant"));
                write(
                        socket,
                        200,
                        "X-Masticfold-Attempt-Id: " + request.header("X-Masticfold-Attempt-Id")
                                + "\r\nX-Masticfold-Response-Seal: 1\r\n",
                        "ok");
                return true;
            }
        };
        configure(store, 7, "\"" + FIRST + "\",\"" + SECOND + "\"");
        store.put("servers", "i-1", entry("pay", server.address(), "v1", "ready", 0, 6, 1));
        try (Gateway gateway = new Gateway(temporary, "front-1", "z1", store)) {
            gateway.awaitReady();
            Thread.sleep(1000);
            if (send(gateway, FIRST) != 200 || send(gateway, NEVER_GIVEN) != 401) {
                throw new IllegalStateException("the deployment does not serve as configured before the change");
            }
            if (trouble) {
                configure(store, 8, "\"" + SECOND + "\"");
                record.line("the store acknowledges version 8: the first key is taken away");
                Thread.sleep(1500);
                configure(store, 9, "");
                record.line("the store acknowledges version 9: the second key is taken away");
            }
            Thread.sleep(CONFIG_MILLIS);
            runs.clear();
            int revokedServed = 0;
            int unknownServed = 0;
            for (int i = 0; i < 10; i++) {
                revokedServed += send(gateway, trouble ? FIRST : NEVER_GIVEN) == 200 ? 1 : 0;
                revokedServed += send(gateway, trouble ? SECOND : NEVER_GIVEN) == 200 ? 1 : 0;
                unknownServed += send(gateway, NEVER_GIVEN) == 200 ? 1 : 0;
                Thread.sleep(100);
            }
            record.result(
                    "after the bound: of 20 requests with keys that were taken away %d were served, of 10 with a key"
                            + " that no configuration ever held %d; the server ran %d requests",
                    trouble ? revokedServed : 0, unknownServed, runs.size());
            return revokedServed + unknownServed + runs.size() > 0;
        }
    }

    private static void configure(Store store, long version, String keys) {
        store.put(
                "config",
                "main",
                config(
                        version,
                        route("pay", "unsafe", "pay", 1000, 1, ""),
                        "{\"name\":\"pay\",\"health_path\":\"/health\",\"max_connections\":100,\"cold_per_s\":0.0}",
                        "{\"name\":\"bozi300\",\"api_keys\":[" + keys + "],\"priority\":1}"));
    }

    private int send(Gateway gateway, String key) throws IOException {
        String attempt = attempt();
        try (Socket socket = gateway.connect()) {
            socket.setSoTimeout(3000);
            HttpStandIn.write(
                    socket,
                    "POST /pay/2f HTTP/1.1\r\nHost: a.example\r\nX-Masticfold-Attempt-Id: " + attempt
                            + "\r\nX-Masticfold-Deadline-Ms: 1000\r\nAuthorization: Bearer " + key
                            + "\r\nContent-Length: 2\r\n\r\n{}");
            Message answer = Message.read(socket.getInputStream());
            int status = answer == null ? 0 : answer.status();
            record.line("client sends %s with key %s and gets %d", attempt, key, status);
            return status;
        }
    }
}
