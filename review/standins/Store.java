package review;

import java.io.IOException;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: objects by kind and name, one revision counter, lists in pages and watches. */
final class Store extends HttpStandIn {

    private static final int PAGE = 500;
    private static final String OBJECTS = "/-/objects/";
    private static final String JSON = "Content-Type: application/json\r\n";

    private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision = 100;
    private volatile boolean silent;

    Store() throws IOException {}

    /** While set, no call is answered. */
    void silence(boolean on) {
        silent = on;
    }

    /** Writes an object, as the operator or a server does; returns once the write is acknowledged. */
    synchronized void put(String kind, String name, String spec) {
        Stored before = kinds.computeIfAbsent(kind, _key -> new TreeMap<>()).get(name);
        if (before != null && before.spec().equals(spec)) {
            return;
        }
        revision++;
        kinds.get(kind).put(name, new Stored(spec, revision, before == null ? revision : before.created()));
        changes.add(new Change(kind, name, revision, spec, false));
        notifyAll();
    }

    synchronized boolean delete(String kind, String name) {
        Stored before = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
        if (before == null) {
            return false;
        }
        revision++;
        changes.add(new Change(kind, name, revision, before.spec(), true));
        notifyAll();
        return true;
    }

    synchronized int count(String kind) {
        return kinds.getOrDefault(kind, new TreeMap<>()).size();
    }

    private synchronized boolean exists(String kind, String name) {
        return kinds.getOrDefault(kind, new TreeMap<>()).containsKey(name);
    }

    @Override
    boolean answer(Message request, Socket socket) throws IOException, InterruptedException {
        if (silent) {
            return true;
        }
        String[] parts = request.target().split("\\?", 2);
        String[] path = parts[0].substring(OBJECTS.length()).split("/");
        String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : "";
        Map<String, String> query = query(parts.length > 1 ? parts[1] : "");
        switch (request.method()) {
            case "GET" -> get(socket, path[0], name, query);
            case "POST" -> {
                String text = request.text();
                int start = text.indexOf("\"name\":\"") + 8;
                String created = text.substring(start, text.indexOf('"', start));
                boolean free = !exists(path[0], created);
                if (free) {
                    put(path[0], created, spec(text));
                }
                write(socket, free ? 200 : 409, JSON, "{}");
            }
            case "PUT" -> {
                boolean known = exists(path[0], name);
                if (known) {
                    put(path[0], name, spec(request.text()));
                }
                write(socket, known ? 200 : 404, JSON, "{}");
            }
            case "DELETE" -> write(socket, delete(path[0], name) ? 200 : 404, JSON, "{}");
            default -> write(socket, 400, JSON, "{}");
        }
        return true;
    }

    private static String spec(String body) {
        return body.substring(body.indexOf("\"spec\":") + 7, body.lastIndexOf('}'));
    }

    private static Map<String, String> query(String text) {
        Map<String, String> query = new HashMap<>();
        for (String pair : text.split("&")) {
            int equals = pair.indexOf('=');
            if (equals > 0) {
                query.put(
                        pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private void get(Socket socket, String kind, String name, Map<String, String> query)
            throws IOException, InterruptedException {
        String body;
        if (query.containsKey("watch")) {
            body = watch(kind, Long.parseLong(query.get("watch")), Long.parseLong(query.getOrDefault("wait_ms", "0")));
        } else {
            body = name.isEmpty() ? list(kind, query.getOrDefault("after", "")) : one(kind, name);
        }
        if (!silent) {
            write(socket, body.isEmpty() ? 404 : 200, JSON, body.isEmpty() ? "{}" : body);
        }
    }

    private synchronized String one(String kind, String name) {
        Stored stored = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
        return stored == null ? "" : object(name, stored.revision(), stored.spec());
    }

    private synchronized String list(String kind, String after) {
        List<String> items = new ArrayList<>();
        boolean more = false;
        for (Map.Entry<String, Stored> entry :
                kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).entrySet()) {
            if (items.size() == PAGE) {
                more = true;
                break;
            }
            items.add(object(entry.getKey(), entry.getValue().revision(), entry.getValue().spec()));
        }
        return "{\"items\":[" + String.join(",", items) + "],\"more_pages\":" + more + ",\"as_of\":" + revision + "}";
    }

    private synchronized String watch(String kind, long after, long waitMillis) throws InterruptedException {
        long end = System.nanoTime() + waitMillis * 1_000_000;
        List<String> events = events(kind, after);
        while (events.isEmpty() && System.nanoTime() < end) {
            wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
            events = events(kind, after);
        }
        return "{\"events\":[" + String.join(",", events) + "],\"as_of\":" + revision + "}";
    }

    private List<String> events(String kind, long after) {
        List<String> events = new ArrayList<>();
        for (Change change : changes) {
            if (change.kind().equals(kind) && change.revision() > after) {
                events.add("{\"deleted\":" + change.deleted() + ",\"object\":"
                        + object(change.name(), change.revision(), change.spec()) + "}");
            }
        }
        return events;
    }

    private static String object(String name, long revision, String spec) {
        return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + revision
                + ",\"create_rev\":1,\"finalizers\":[],\"deleting\":false},\"spec\":" + spec + ",\"status\":null}";
    }

    private record Stored(String spec, long revision, long created) {}

    private record Change(String kind, String name, long revision, String spec, boolean deleted) {}
}
