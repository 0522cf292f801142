import java.io.IOException;
import java.net.InetAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's object store: kinds, objects, revisions, lists and watches. */
final class Store {

    private record Change(String kind, boolean deleted, Map<String, Object> object, long revision) {}

    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new TreeMap<>();
    private final List<Change> changes = new ArrayList<>();
    private long revision = 100;
    final Http.Server server;

    Store(InetAddress ip) throws IOException {
        this.server = new Http.Server(ip, 0, this::serve);
    }

    /** Writes an object as an operator or a server does. */
    synchronized void put(String kind, String name, Object spec) {
        Map<String, Object> before = kind(kind).get(name);
        if (before != null && Json.write(before.get("spec")).equals(Json.write(spec))) {
            return;
        }
        revision++;
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put(
                "create_rev",
                before == null ? revision : Json.object(before.get("metadata")).get("create_rev"));
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", before == null ? null : before.get("status"));
        kind(kind).put(name, object);
        changed(new Change(kind, false, object, revision));
    }

    synchronized boolean delete(String kind, String name) {
        Map<String, Object> before = kind(kind).remove(name);
        if (before == null) {
            return false;
        }
        revision++;
        changed(new Change(kind, true, before, revision));
        return true;
    }

    synchronized List<String> names(String kind) {
        return List.copyOf(kind(kind).keySet());
    }

    private TreeMap<String, Map<String, Object>> kind(String name) {
        return kinds.computeIfAbsent(name, key -> new TreeMap<>());
    }

    private void changed(Change change) {
        changes.add(change);
        notifyAll();
    }

    private boolean serve(Http.Message request, Http.Connection connection) throws IOException {
        String uri = request.uri();
        int query = uri.indexOf('?');
        Map<String, String> parameters = new LinkedHashMap<>();
        if (query >= 0) {
            for (String parameter : uri.substring(query + 1).split("&")) {
                String[] pair = parameter.split("=", 2);
                parameters.put(pair[0], pair.length < 2 ? "" : pair[1]);
            }
            uri = uri.substring(0, query);
        }
        String[] path = uri.split("/");
        // "", "-", "objects", KIND, NAME, "status"
        String kind = path[3];
        String name = path.length > 4 ? path[4] : "";
        Object[] answer;
        switch (request.method()) {
            case "GET" -> answer = name.isEmpty() ? list(kind, parameters) : one(kind, name);
            case "POST" -> answer = create(kind, request);
            case "PUT" -> answer = replace(kind, name, request);
            case "DELETE" -> answer = new Object[] {delete(kind, name) ? 200 : 404, Map.of()};
            default -> answer = new Object[] {400, Map.of()};
        }
        if (!request.method().equals("GET")) {
            Record.note("store: " + request.start + " -> " + answer[0]);
        }
        Http.write(
                connection.out,
                "HTTP/1.1 " + answer[0] + " X",
                Map.of("Content-Type", "application/json"),
                Json.write(answer[1]).getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private synchronized Object[] one(String kind, String name) {
        Map<String, Object> object = kind(kind).get(name);
        return object == null ? new Object[] {404, Map.of()} : new Object[] {200, object};
    }

    private synchronized Object[] list(String kind, Map<String, String> parameters) {
        if (!parameters.containsKey("watch")) {
            String after = parameters.getOrDefault("after", "");
            Map<String, Object> page = new LinkedHashMap<>();
            page.put("items", new ArrayList<>(kind(kind).tailMap(after, false).values()));
            page.put("more_pages", false);
            page.put("as_of", revision);
            return new Object[] {200, page};
        }
        long from = Long.parseLong(parameters.get("watch"));
        long deadline = System.nanoTime() + Long.parseLong(parameters.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Change change : changes) {
                if (change.revision() > from && change.kind().equals(kind)) {
                    Map<String, Object> event = new LinkedHashMap<>();
                    event.put("deleted", change.deleted());
                    event.put("object", change.object());
                    events.add(event);
                }
            }
            long left = (deadline - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) {
                Map<String, Object> page = new LinkedHashMap<>();
                page.put("events", events);
                page.put("as_of", revision);
                return new Object[] {200, page};
            }
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    private synchronized Object[] create(String kind, Http.Message request) {
        Map<String, Object> object = Json.object(Json.parse(request.text()));
        String name = (String) Json.object(object.get("metadata")).get("name");
        if (kind(kind).containsKey(name)) {
            return new Object[] {409, kind(kind).get(name)};
        }
        put(kind, name, object.get("spec"));
        return new Object[] {200, kind(kind).get(name)};
    }

    private synchronized Object[] replace(String kind, String name, Http.Message request) {
        Map<String, Object> before = kind(kind).get(name);
        if (before == null) {
            return new Object[] {404, Map.of()};
        }
        Map<String, Object> object = Json.object(Json.parse(request.text()));
        Object condition = Json.object(object.get("metadata")).get("revision");
        if (condition != null && !condition.equals(Json.object(before.get("metadata")).get("revision"))) {
            return new Object[] {409, before};
        }
        put(kind, name, object.get("spec"));
        return new Object[] {200, kind(kind).get(name)};
    }
}
