package io.masticfold.testkit.object;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.async.function.AsyncSupplierEx;
import io.activej.http.HttpError;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.Promises;
import io.activej.promise.SettablePromise;
import io.masticfold.testkit.http.AbstractStandIn;
import io.masticfold.testkit.http.JsonSupport;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** Fakes the object API of the platform: versioned objects, conditional writes and long-poll watches, in memory. */
public final class ObjectApiStandIn extends AbstractStandIn<ObjectApiFault> {

    /** Largest specification, in bytes. */
    public static final int MAX_VALUE_BYTES = 1024 * 1024;

    private static final String OBJECT_PATH = "/v1/objects/:kind/:name";
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int TOO_LARGE = 413;
    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;
    private static final long MAX_WATCH_MILLIS = 60_000;

    private final ObjectStore store = new ObjectStore();
    private final CallRate reads = new CallRate();
    private final CallRate writes = new CallRate();
    private final Map<CallKind, Long> calls = new EnumMap<>(CallKind.class);
    private final List<Runnable> waiting = new ArrayList<>();

    /** Creates a stand-in that listens on an address; port 0 chooses a free one. */
    public ObjectApiStandIn(InetSocketAddress address) {
        super("object-api", address, ObjectApiFault.class);
    }

    /** Returns how many calls of a kind arrived, refused ones included. */
    public long calls(CallKind kind) {
        return call(() -> calls.getOrDefault(kind, 0L));
    }

    /** Returns the revision of the store. */
    public long revision() {
        return call(store::revision);
    }

    /** Returns the envelope of an object as JSON, with version 0 if it was never written. */
    public String object(String kind, String name) {
        return call(() -> store.object(kind, name).envelope().toString());
    }

    /**
     * Writes an object without any condition or fault.
     *
     * @param spec the specification as JSON
     * @return its version
     */
    public long put(String kind, String name, String spec) {
        JsonNode parsed = parse(spec);
        return call(() -> {
            long expected = store.object(kind, name).expectedVersion();
            long version = store.write(kind, name, expected, "testkit", parsed)
                    .orElseThrow()
                    .version();
            wakeWatches();
            return version;
        });
    }

    @Override
    protected void routes(RoutingServlet.Builder routes) {
        routes.with(HttpMethod.GET, OBJECT_PATH, request -> serve(request, CallKind.GET, () -> get(request)))
                .with(HttpMethod.PUT, OBJECT_PATH, request -> serve(request, CallKind.PUT, () -> put(request)))
                .with(HttpMethod.DELETE, OBJECT_PATH, request -> serve(request, CallKind.DELETE, () -> delete(request)))
                .with(HttpMethod.GET, "/v1/objects", request -> serve(request, CallKind.LIST, () -> list(request)))
                .with(HttpMethod.GET, "/v1/watch", request -> serve(request, CallKind.WATCH, () -> watch(request)))
                .with(HttpMethod.GET, "/v1/calls", _request -> JsonSupport.ok(callCounts())
                        .toPromise());
    }

    private static JsonNode parse(String json) {
        try {
            return JsonSupport.parse(json.getBytes(StandardCharsets.UTF_8));
        } catch (HttpError e) {
            throw new IllegalArgumentException("specification is no JSON: " + json, e);
        }
    }

    private ObjectNode callCounts() {
        ObjectNode counts = JsonSupport.object();
        calls.forEach((kind, count) -> counts.put(kind.code(), count));
        return counts;
    }

    private Promise<HttpResponse> serve(HttpRequest request, CallKind kind, AsyncSupplierEx<HttpResponse> action)
            throws Exception {
        calls.merge(kind, 1L, Long::sum);
        if (faults().take(ObjectApiFault.CUT)) {
            return cut(request);
        }
        if (faults().take(ObjectApiFault.UNAVAILABLE)) {
            return refuse(UNAVAILABLE);
        }
        if (!allowed(kind)) {
            return refuse(TOO_MANY);
        }
        Promise<HttpResponse> answer =
                delay(ObjectApiFault.DELAY_BEFORE_MILLIS).then(() -> apply(request, kind, action));
        return answer.then(response -> delay(ObjectApiFault.DELAY_AFTER_MILLIS).map(_done -> response));
    }

    private Promise<HttpResponse> apply(HttpRequest request, CallKind kind, AsyncSupplierEx<HttpResponse> action)
            throws Exception {
        if (kind.write() && faults().take(ObjectApiFault.LOSE_BEFORE_EFFECT)) {
            return cut(request);
        }
        Promise<HttpResponse> answer = action.get();
        if (kind.write() && faults().take(ObjectApiFault.LOSE_AFTER_EFFECT)) {
            return answer.then(_response -> cut(request));
        }
        return answer;
    }

    private boolean allowed(CallKind kind) {
        long now = eventloop().currentTimeMillis();
        return kind.write()
                ? writes.allow(now, faults().value(ObjectApiFault.WRITES_PER_SECOND))
                : reads.allow(now, faults().value(ObjectApiFault.READS_PER_SECOND));
    }

    private Promise<Void> delay(ObjectApiFault fault) {
        long millis = faults().value(fault);
        return millis > 0 ? Promises.delay(millis) : Promise.complete();
    }

    private static Promise<HttpResponse> refuse(int status) {
        return JsonSupport.builder(status, JsonSupport.object().put("message", "not done"))
                .withHeader(HttpHeaders.RETRY_AFTER, "1")
                .toPromise();
    }

    private Promise<HttpResponse> get(HttpRequest request) {
        StoredObject found = store.object(request.getPathParameter("kind"), request.getPathParameter("name"));
        return JsonSupport.answer(found.deleted() ? NOT_FOUND : 200, found.envelope())
                .toPromise();
    }

    private Promise<HttpResponse> put(HttpRequest request) {
        return body(request).then(bytes -> {
            JsonNode change = JsonSupport.parse(bytes);
            JsonNode spec = change.path("spec");
            if (!spec.isObject() || !change.path("changeId").isTextual()) {
                throw HttpError.ofCode(BAD_REQUEST, "changeId and spec are required");
            }
            if (bytes.length > MAX_VALUE_BYTES) {
                throw HttpError.ofCode(TOO_LARGE, "value of " + bytes.length + " bytes");
            }
            return write(request, change.get("changeId").textValue(), spec);
        });
    }

    private Promise<HttpResponse> delete(HttpRequest request) throws HttpError {
        String changeId = request.getQueryParameter("changeId");
        return write(request, changeId == null ? "" : changeId, null);
    }

    private Promise<HttpResponse> write(HttpRequest request, String changeId, @Nullable JsonNode spec)
            throws HttpError {
        String kind = request.getPathParameter("kind");
        String name = request.getPathParameter("name");
        Optional<StoredObject> written =
                store.write(kind, name, number(request.getHeader(HttpHeaders.IF_MATCH), "If-Match"), changeId, spec);
        if (written.isEmpty()) {
            StoredObject current = store.object(kind, name);
            ObjectNode body = current.version() == 0 ? JsonSupport.object() : current.envelope();
            return JsonSupport.answer(CONFLICT, body).toPromise();
        }
        wakeWatches();
        return JsonSupport.ok(JsonSupport.object().put("version", written.get().version()))
                .toPromise();
    }

    private Promise<HttpResponse> list(HttpRequest request) throws HttpError {
        return JsonSupport.ok(changes(since(request), kinds(request))).toPromise();
    }

    private Promise<HttpResponse> watch(HttpRequest request) throws HttpError {
        long since = since(request);
        Set<String> kinds = kinds(request);
        long timeoutMillis = Math.min(MAX_WATCH_MILLIS, number(request.getQueryParameter("timeoutMillis"), "timeout"));
        SettablePromise<HttpResponse> answer = new SettablePromise<>();
        Runnable check = () -> {
            if (!answer.isComplete() && !store.since(since, kinds).isEmpty()) {
                answer.set(JsonSupport.ok(changes(since, kinds)));
            }
        };
        waiting.add(check);
        check.run();
        eventloop().delay(timeoutMillis, () -> answer.trySet(JsonSupport.ok(changes(since, kinds))));
        return answer.whenComplete(() -> waiting.remove(check));
    }

    private ObjectNode changes(long since, Set<String> kinds) {
        ObjectNode answer = JsonSupport.object().put("revision", store.revision());
        ArrayNode objects = answer.putArray("objects");
        store.since(since, kinds).forEach(object -> objects.add(object.envelope()));
        return answer;
    }

    private void wakeWatches() {
        List.copyOf(waiting).forEach(Runnable::run);
    }

    private static Set<String> kinds(HttpRequest request) {
        Set<String> kinds = new TreeSet<>();
        for (String value : request.getQueryParameters("kind")) {
            kinds.addAll(List.of(value.split(",")));
        }
        return kinds;
    }

    private static long since(HttpRequest request) throws HttpError {
        return number(request.getQueryParameter("since"), "since");
    }

    private static long number(@Nullable String value, String what) throws HttpError {
        try {
            return Long.parseLong(String.valueOf(value));
        } catch (NumberFormatException e) {
            throw HttpError.ofCode(BAD_REQUEST, what + " must be a number: '" + value + "'", e);
        }
    }
}
