package io.masticfold.testkit.targets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpError;
import io.activej.http.HttpHeader;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.masticfold.core.model.TargetKind;
import io.masticfold.testkit.http.AbstractStandIn;
import io.masticfold.testkit.http.JsonSupport;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Random;

/** Fakes a target: a model engine, a member of a stage pool or a plain service. */
public final class TargetStandIn extends AbstractStandIn<TargetFault> {

    private static final HttpHeader ATTEMPT_ID = HttpHeaders.of("X-Attempt-Id");
    private static final HttpHeader REQUEST_ID = HttpHeaders.of("X-Request-Id");
    private static final HttpHeader PRIORITY = HttpHeaders.of("X-Priority");
    private static final HttpHeader DEADLINE = HttpHeaders.of("X-Deadline-Ms");
    private static final HttpHeader NOT_RUN = HttpHeaders.of("X-Not-Run");
    private static final HttpHeader FENCING_NUMBER = HttpHeaders.of("X-Fencing-Number");
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int CONFLICT = 409;
    private static final int CANCELLED = 499;
    private static final int FAILED = 500;
    private static final int UNAVAILABLE = 503;
    private static final double PERCENT = 100;
    private static final double LEAST_FACTOR = 0.5;

    private final TargetProfile profile;
    private final Random random;
    private final RunQueue runs;
    private final OrderBook orders;
    private final LaggedLoad load;
    private SettablePromise<Void> thawed = new SettablePromise<>();

    /** Creates a stand-in that listens on an address; port 0 chooses a free one. */
    public TargetStandIn(InetSocketAddress address, TargetProfile profile) {
        super(profile.name(), address, TargetFault.class);
        this.profile = profile;
        this.random = new Random(profile.seed());
        this.runs = new RunQueue(profile, this::nowMillis, this::startTimer);
        this.orders = new OrderBook(profile.checksFencing());
        this.load = new LaggedLoad(this::nowMillis, profile.lagMillis(), this::currentLoad);
    }

    /** Returns the executions, ended ones first. */
    public List<Execution> executions() {
        return call(runs::executions);
    }

    /** Returns the orders in the sequence of their arrival. */
    public List<Order> orders() {
        return call(orders::orders);
    }

    /** Returns the most runs at once, waiting ones included. */
    public int peakInFlight() {
        return call(runs::peakInFlight);
    }

    /** Returns the most runs at once while not warm, waiting ones included. */
    public int peakInFlightCold() {
        return call(runs::peakInFlightCold);
    }

    /** Returns how often work beyond the cold bound made the target collapse. */
    public int collapses() {
        return call(runs::collapses);
    }

    @Override
    protected void routes(RoutingServlet.Builder routes) {
        routes.with(HttpMethod.POST, "/v1/run", this::run)
                .with(HttpMethod.DELETE, "/v1/run/:attempt", this::cancel)
                .with(HttpMethod.GET, "/v1/load", _request -> whenThawed().map(_done -> JsonSupport.ok(load.report())))
                .with(HttpMethod.PUT, "/v1/order", this::order)
                .with(HttpMethod.GET, "/v1/executions", _request -> JsonSupport.ok(report())
                        .toPromise());
    }

    @Override
    protected void onFault(TargetFault fault, long value) {
        super.onFault(fault, value);
        if (fault == TargetFault.TURN_COLD_MILLIS) {
            runs.warmth().turnCold(value);
        }
    }

    @Override
    protected void onFaultsChanged() {
        runs.burstSlots(faults().value(TargetFault.BURST_SLOTS));
        if (!faults().on(TargetFault.FREEZE)) {
            SettablePromise<Void> waiting = thawed;
            thawed = new SettablePromise<>();
            waiting.set(null);
        }
    }

    private long nowMillis() {
        return eventloop().currentTimeMillis();
    }

    private Promise<Void> whenThawed() {
        return faults().on(TargetFault.FREEZE) ? thawed : Promise.complete();
    }

    private Promise<HttpResponse> run(HttpRequest request) {
        if (faults().take(TargetFault.CUT_ON_ARRIVAL)) {
            return cut(request);
        }
        return whenThawed().then(_done -> body(request)).then(input -> admit(request, input));
    }

    private Promise<HttpResponse> admit(HttpRequest request, byte[] input) throws HttpError {
        JsonNode json = JsonSupport.parse(input);
        if (faults().take(TargetFault.REFUSE) || runs.full()) {
            return refuse();
        }
        RunState run = new RunState(new Execution(
                header(request, ATTEMPT_ID),
                header(request, REQUEST_ID),
                json.findPath("operation").asText(),
                RunAnswer.digest(input),
                header(request, PRIORITY),
                header(request, DEADLINE),
                nowMillis(),
                0,
                0,
                !runs.temperature().warm(),
                ExecutionState.QUEUED));
        RunAnswer answer = new RunAnswer(profile, run, json, request);
        runs.add(run);
        return answer.streamed()
                ? run.start().then(started -> started ? stream(request, answer) : plain(request, answer))
                : plain(request, answer);
    }

    private static String header(HttpRequest request, HttpHeader header) {
        String value = request.getHeader(header);
        return value == null ? "" : value;
    }

    private static Promise<HttpResponse> refuse() {
        return JsonSupport.builder(UNAVAILABLE, JsonSupport.object().put("message", "refused, not run"))
                .withHeader(NOT_RUN, "true")
                .withHeader(HttpHeaders.RETRY_AFTER, "1")
                .toPromise();
    }

    private void startTimer(RunState run) {
        double factor = LEAST_FACTOR + random.nextDouble();
        double slow = faults().value(TargetFault.SLOW_PERCENT) / PERCENT;
        long serviceMillis = Math.round(profile.meanMillis() * factor * slow);
        run.serviceMillis(serviceMillis);
        run.timer(eventloop().delay(serviceMillis, () -> complete(run)));
    }

    private void complete(RunState run) {
        ExecutionState end = faults().take(TargetFault.FAIL) ? ExecutionState.FAILED : ExecutionState.DONE;
        whenThawed().whenResult(() -> runs.end(run, end));
    }

    private Promise<HttpResponse> plain(HttpRequest request, RunAnswer answer) {
        return answer.run().end().then(end -> whenThawed().then(() -> {
            if (end != ExecutionState.DONE) {
                int status = end == ExecutionState.FAILED ? FAILED : CANCELLED;
                return JsonSupport.answer(status, JsonSupport.object().put("message", end.name()))
                        .toPromise();
            }
            if (faults().take(TargetFault.CUT_BEFORE_BODY)) {
                return cut(request);
            }
            if (faults().take(TargetFault.CUT_DURING_BODY)) {
                return answer.half().toPromise();
            }
            if (faults().take(TargetFault.CUT_AFTER_BODY)) {
                cutAfterAnswer(request);
            }
            return answer.whole().toPromise();
        }));
    }

    private Promise<HttpResponse> stream(HttpRequest request, RunAnswer answer) {
        if (faults().take(TargetFault.CUT_BEFORE_BODY)) {
            return cut(request);
        }
        if (faults().take(TargetFault.CUT_AFTER_BODY)) {
            cutAfterAnswer(request);
        }
        boolean cutDuring = faults().take(TargetFault.CUT_DURING_BODY);
        TokenStream stream = new TokenStream(eventloop(), answer, profile.tokens(), cutDuring, this::whenThawed);
        return stream.response().toPromise();
    }

    private Promise<HttpResponse> cancel(HttpRequest request) {
        String attempt = request.getPathParameter("attempt");
        return whenThawed().then(() -> runs.find(attempt)
                .map(run -> {
                    boolean ran = run.execution().state().ran();
                    runs.end(run, ran ? ExecutionState.CANCELLED_RUNNING : ExecutionState.CANCELLED_WAITING);
                    return JsonSupport.ok(
                                    JsonSupport.object().put("cancelled", true).put("ran", ran))
                            .toPromise();
                })
                .orElseGet(() -> JsonSupport.answer(
                                NOT_FOUND, JsonSupport.object().put("message", "no open run of " + attempt))
                        .toPromise()));
    }

    private Promise<HttpResponse> order(HttpRequest request) throws HttpError {
        if (profile.kind() != TargetKind.ENGINE) {
            throw HttpError.ofCode(NOT_FOUND, "only engines take orders");
        }
        long fencingNumber = fencingNumber(header(request, FENCING_NUMBER));
        return whenThawed().then(_done -> body(request)).then(bytes -> {
            Order order = orders.add(fencingNumber, nowMillis(), JsonSupport.parse(bytes));
            ObjectNode answer = JsonSupport.object().put("highestFencingNumber", orders.highest());
            return JsonSupport.answer(order.accepted() ? 200 : CONFLICT, answer).toPromise();
        });
    }

    private static long fencingNumber(String header) throws HttpError {
        try {
            return Long.parseLong(header);
        } catch (NumberFormatException e) {
            throw HttpError.ofCode(BAD_REQUEST, "X-Fencing-Number must be a number: '" + header + "'", e);
        }
    }

    private ObjectNode currentLoad() {
        return JsonSupport.object()
                .put("bootId", runs.warmth().bootId())
                .put("state", runs.temperature().name().toLowerCase(Locale.ROOT))
                .put("running", runs.running() + Math.min(faults().value(TargetFault.BURST_SLOTS), profile.slots()))
                .put("queued", runs.queued())
                .put("slots", profile.slots());
    }

    private ObjectNode report() {
        ObjectNode report = JsonSupport.object()
                .put("target", profile.name())
                .put("peakInFlight", runs.peakInFlight())
                .put("peakInFlightCold", runs.peakInFlightCold())
                .put("collapses", runs.collapses());
        report.set("executions", JsonSupport.node(runs.executions()));
        report.set("orders", JsonSupport.node(orders.orders()));
        return report;
    }
}
