package io.masticfold.testkit.vm;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpError;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.masticfold.testkit.http.AbstractStandIn;
import io.masticfold.testkit.http.JsonSupport;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;

/** Fakes the VM list of the platform. It shows changes with a lag; {@code PUT /v1/vms/{name}} changes it over HTTP. */
public final class VmListStandIn extends AbstractStandIn<VmListFault> {

    private static final String VM_PATH = "/v1/vms/:name";
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;

    private final Map<String, Vm> vms = new TreeMap<>();
    private final TreeMap<Long, ObjectNode> shownFrom = new TreeMap<>();

    /** Creates a stand-in that listens on an address; port 0 chooses a free one. */
    public VmListStandIn(InetSocketAddress address) {
        super("vm-list", address, VmListFault.class);
        shownFrom.put(Long.MIN_VALUE, list());
    }

    /** Adds or replaces a VM. */
    public void put(Vm vm) {
        run(() -> change(map -> map.put(vm.name(), vm)));
    }

    /** Removes a VM. */
    public void remove(String name) {
        run(() -> change(map -> map.remove(name)));
    }

    @Override
    protected void routes(RoutingServlet.Builder routes) {
        routes.with(HttpMethod.GET, "/v1/vms", this::answer)
                .with(HttpMethod.PUT, VM_PATH, this::put)
                .with(HttpMethod.DELETE, VM_PATH, request -> {
                    change(map -> map.remove(request.getPathParameter("name")));
                    return JsonSupport.ok(list()).toPromise();
                });
    }

    private Promise<HttpResponse> answer(HttpRequest request) {
        if (faults().take(VmListFault.CUT)) {
            return cut(request);
        }
        if (faults().take(VmListFault.UNAVAILABLE)) {
            return JsonSupport.answer(UNAVAILABLE, JsonSupport.object().put("message", "unavailable"))
                    .toPromise();
        }
        long shownAt = eventloop().currentTimeMillis() - faults().value(VmListFault.LAG_MILLIS);
        long newest = shownFrom.floorKey(shownAt);
        shownFrom.headMap(newest).clear();
        return JsonSupport.ok(shownFrom.get(newest)).toPromise();
    }

    private Promise<HttpResponse> put(HttpRequest request) {
        String name = request.getPathParameter("name");
        return body(request).then(bytes -> {
            JsonNode json = JsonSupport.parse(bytes);
            Vm vm = new Vm(
                    name,
                    text(json, "role"),
                    text(json, "zone"),
                    text(json, "address"),
                    text(json, "admin"),
                    text(json, "state").equals(VmState.LEAVING.code()) ? VmState.LEAVING : VmState.LIVE);
            change(map -> map.put(name, vm));
            return JsonSupport.ok(list()).toPromise();
        });
    }

    private static String text(JsonNode json, String field) throws HttpError {
        JsonNode value = json.get(field);
        if (value == null || !value.isTextual()) {
            throw HttpError.ofCode(BAD_REQUEST, field + " must be a text: " + value);
        }
        return value.textValue();
    }

    private void change(Consumer<Map<String, Vm>> change) {
        change.accept(vms);
        shownFrom.put(eventloop().currentTimeMillis(), list());
    }

    private ObjectNode list() {
        ObjectNode answer = JsonSupport.object();
        ArrayNode entries = answer.putArray("vms");
        vms.values().forEach(vm -> entries.add(vm.json()));
        return answer;
    }
}
