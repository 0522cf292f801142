package io.masticfold.cli;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Serves a VM list and the status of the entries on it. */
final class FakeEntries implements AutoCloseable {

    private final HttpServer list;
    private final Map<String, HttpServer> entries = new TreeMap<>();
    private final Map<String, String> statuses = new ConcurrentHashMap<>();

    FakeEntries() throws IOException {
        list = server();
        list.createContext("/v1/vms", exchange -> answer(exchange, vms()));
        list.start();
    }

    String vmList() {
        return hostPort(list);
    }

    /** Adds an entry, or changes its status: its revision, and that of the agent of target {@code t1} it reports. */
    void entry(String name, long revision, long agentRevision) throws IOException {
        statuses.put(name, status(name, revision, agentRevision));
        if (!entries.containsKey(name)) {
            HttpServer entry = server();
            entry.createContext("/status", exchange -> answer(exchange, statuses.get(name)));
            entry.start();
            entries.put(name, entry);
        }
    }

    /** Stops an entry that stays on the VM list. */
    void kill(String name) {
        entries.get(name).stop(0);
    }

    private static String status(String name, long revision, long agentRevision) {
        return """
                {"name":"%s","role":"entry","zone":"a","incarnation":"1-2","configRevision":%d,"configDigest":"d%d",
                 "ready":true,"agents":[{"target":"t1","zone":"a","usable":true,"incarnation":"3-4",
                 "configRevision":%d,"configDigest":"d%d","temperature":"warm","inFlight":3,"limit":8}],
                 "contracts":[{"name":"buyers","answered":200,"inWindow":190,"attainment":0.95}]}
                """
                .formatted(name, revision, revision, agentRevision, agentRevision);
    }

    private String vms() {
        StringBuilder vms = new StringBuilder();
        entries.forEach((name, entry) -> vms.append(vms.isEmpty() ? "" : ",")
                .append("{\"name\":\"" + name + "\",\"role\":\"entry\",\"zone\":\"a\",\"state\":\"live\",\"address\":\""
                        + hostPort(entry) + "\",\"admin\":\"" + hostPort(entry) + "\"}"));
        return "{\"vms\":[" + vms + "]}";
    }

    private static HttpServer server() throws IOException {
        return HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    }

    private static String hostPort(HttpServer server) {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    private static void answer(HttpExchange exchange, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @Override
    public void close() {
        entries.values().forEach(entry -> entry.stop(0));
        list.stop(0);
    }
}
