import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: objects by kind and name, lists, watches and conditional writes. */
final class Store extends Listener {
    private final Map<String, TreeMap<String, Map<String, Object>>> kinds = new TreeMap<>();
    private final List<Event> events = new ArrayList<>();
    private long revision = 100;

    private record Event(String kind, long revision, boolean deleted, Map<String, Object> object) {}

    Store(String ip) {
        super(ip);
    }

    private TreeMap<String, Map<String, Object>> kind(String kind) {
        return kinds.computeIfAbsent(kind, _key -> new TreeMap<>());
    }

    synchronized void put(String kind, String name, Object spec) {
        Map<String, Object> before = kind(kind).get(name);
        write(kind, name, spec, before == null ? null : before.get("status"));
    }

    @SuppressWarnings("unchecked")
    private Map<String, Object> write(String kind, String name, Object spec, Object status) {
        revision++;
        Map<String, Object> before = kind(kind).get(name);
        Map<String, Object> metadata = new LinkedHashMap<>();
        metadata.put("name", name);
        metadata.put("revision", revision);
        metadata.put(
                "create_rev",
                before == null ? revision : ((Map<String, Object>) before.get("metadata")).get("create_rev"));
        metadata.put("finalizers", List.of());
        metadata.put("deleting", false);
        Map<String, Object> object = new LinkedHashMap<>();
        object.put("metadata", metadata);
        object.put("spec", spec);
        object.put("status", status);
        kind(kind).put(name, object);
        events.add(new Event(kind, revision, false, object));
        notifyAll();
        return object;
    }

    synchronized void delete(String kind, String name) {
        Map<String, Object> object = kind(kind).remove(name);
        if (object != null) {
            revision++;
            events.add(new Event(kind, revision, true, object));
            notifyAll();
        }
    }

    synchronized int count(String kind) {
        return kind(kind).size();
    }

    private static void answer(Socket socket, int status, Object body) throws IOException {
        String text = Json.write(body);
        write(
                socket,
                "HTTP/1.1 " + status + " X\r\nStore-Era: 1\r\nContent-Type: application/json\r\nContent-Length: "
                        + text.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n");
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        socket.getOutputStream().flush();
    }

    @Override
    boolean handle(Socket socket, InputStream in) throws Exception {
        Message request = Message.readRequest(in);
        if (request == null) {
            return false;
        }
        String[] uri = request.target().split("\\?", 2);
        String[] path = uri[0].substring("/-/objects/".length()).split("/");
        Map<String, String> query = new LinkedHashMap<>();
        if (uri.length > 1) {
            for (String part : uri[1].split("&")) {
                String[] pair = part.split("=", 2);
                query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
            }
        }
        String name = path.length > 1 ? URLDecoder.decode(path[1], StandardCharsets.UTF_8) : "";
        switch (request.method()) {
            case "GET" -> {
                if (query.containsKey("watch")) {
                    watch(socket, path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")));
                } else if (name.isEmpty()) {
                    answer(socket, 200, list(path[0], query.getOrDefault("after", "")));
                } else {
                    Object found;
                    synchronized (this) {
                        found = kind(path[0]).get(name);
                    }
                    answer(socket, found == null ? 404 : 200, found == null ? Map.of() : found);
                }
            }
            case "POST", "PUT", "DELETE" -> change(socket, request, path, name, query);
            default -> answer(socket, 405, Map.of());
        }
        return true;
    }

    @SuppressWarnings("unchecked")
    private void change(Socket socket, Message request, String[] path, String name, Map<String, String> query)
            throws IOException {
        int status = 200;
        Object result = Map.of();
        synchronized (this) {
            Map<String, Object> body = request.body.length == 0 ? Map.of() : Json.object(request.text());
            Map<String, Object> metadata = (Map<String, Object>) body.getOrDefault("metadata", Map.of());
            String key = request.method().equals("POST") ? String.valueOf(metadata.get("name")) : name;
            Map<String, Object> known = kind(path[0]).get(key);
            Object expected = query.containsKey("revision") ? query.get("revision") : metadata.get("revision");
            if (request.method().equals("POST")) {
                status = known == null ? 200 : 409;
                result = known == null ? write(path[0], key, body.get("spec"), null) : known;
            } else if (known == null) {
                status = 404;
            } else if (expected != null
                    && !String.valueOf(expected)
                            .equals(String.valueOf(((Map<String, Object>) known.get("metadata")).get("revision")))) {
                status = 409;
                result = known;
            } else if (request.method().equals("DELETE")) {
                delete(path[0], key);
            } else if (path.length > 2) {
                result = write(path[0], key, known.get("spec"), body.get("status"));
            } else if (Json.write(known.get("spec")).equals(Json.write(body.get("spec")))) {
                result = known;
            } else {
                result = write(path[0], key, body.get("spec"), known.get("status"));
            }
        }
        answer(socket, status, result);
    }

    private synchronized Map<String, Object> list(String kind, String after) {
        List<Object> items = new ArrayList<>(
                after.isEmpty() ? kind(kind).values() : kind(kind).tailMap(after, false).values());
        Map<String, Object> page = new LinkedHashMap<>();
        page.put("items", items);
        page.put("more_pages", false);
        page.put("as_of", revision);
        return page;
    }

    private void watch(Socket socket, String kind, long from, long waitMillis) throws Exception {
        Map<String, Object> page = new LinkedHashMap<>();
        synchronized (this) {
            long end = System.nanoTime() + waitMillis * 1_000_000;
            List<Object> found = after(kind, from);
            while (found.isEmpty() && System.nanoTime() < end) {
                wait(Math.max(1, (end - System.nanoTime()) / 1_000_000));
                found = after(kind, from);
            }
            page.put("events", found);
            page.put("as_of", revision);
        }
        answer(socket, 200, page);
    }

    private List<Object> after(String kind, long from) {
        List<Object> found = new ArrayList<>();
        for (int i = events.size() - 1; i >= 0 && events.get(i).revision() > from; i--) {
            Event event = events.get(i);
            if (event.kind().equals(kind)) {
                Map<String, Object> entry = new LinkedHashMap<>();
                entry.put("deleted", event.deleted());
                entry.put("object", event.object());
                found.add(0, entry);
            }
        }
        return found;
    }
}
