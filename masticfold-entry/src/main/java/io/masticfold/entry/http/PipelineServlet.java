package io.masticfold.entry.http;

import io.activej.http.AsyncServlet;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.error.ErrorKind;
import io.masticfold.core.error.MasticfoldException;
import io.masticfold.core.error.Ran;
import io.masticfold.core.error.Retry;
import io.masticfold.core.limit.AdmissionDecision;
import io.masticfold.core.limit.AdmissionTicket;
import io.masticfold.core.limit.RequestAdmission;
import io.masticfold.core.pipeline.PipelineRequest;
import io.masticfold.core.pipeline.PipelineService;
import io.masticfold.core.pipeline.RequestFailure;
import io.masticfold.core.telemetry.Telemetry;
import io.masticfold.core.time.Scheduler;
import java.time.Duration;
import java.util.function.Supplier;

/** Handles {@code POST /v1/pipelines/{pipeline}} on a single event loop. */
public final class PipelineServlet implements AsyncServlet {

    private final PipelineService service;
    private final RequestAdmission admission;
    private final RequestParser parser;
    private final EntryLifecycle lifecycle;
    private final Attainment attainment;
    private final Telemetry telemetry;
    private final Scheduler scheduler;

    /**
     * Creates a servlet for a single event loop.
     *
     * @param service executes admitted requests
     * @param admission admission control
     * @param config supplies the active configuration
     * @param lifecycle lifecycle of the entry; accepts requests and counts those in progress
     * @param attainment records responses by contract
     * @param telemetry counts refusals
     * @param scheduler scheduler of the event loop
     */
    public PipelineServlet(
            PipelineService service,
            RequestAdmission admission,
            Supplier<ConfigSnapshot> config,
            EntryLifecycle lifecycle,
            Attainment attainment,
            Telemetry telemetry,
            Scheduler scheduler) {
        this.service = service;
        this.admission = admission;
        this.parser = new RequestParser(config, scheduler);
        this.lifecycle = lifecycle;
        this.attainment = attainment;
        this.telemetry = telemetry;
        this.scheduler = scheduler;
    }

    @Override
    public Promise<HttpResponse> serve(HttpRequest request) {
        String requestId = RequestParser.requestId(request);
        if (!lifecycle.beginRequest()) {
            return Promise.of(refusalResponse(requestId, ErrorKind.SHUTTING_DOWN, "this entry is shutting down"));
        }
        return handle(request, requestId).whenComplete(lifecycle::endRequest);
    }

    private Promise<HttpResponse> handle(HttpRequest request, String requestId) {
        RequestHead head;
        try {
            head = parser.parseHead(request, requestId);
            checkContentLength(request, head.pipeline().maxBodyBytes());
        } catch (MasticfoldException e) {
            return Promise.of(refusalResponse(requestId, e.kind(), String.valueOf(e.getMessage())));
        }
        return request.loadBody(head.pipeline().maxBodyBytes())
                .then(
                        body -> admit(head, body.getArray()),
                        _e -> Promise.of(refusalResponse(
                                requestId,
                                ErrorKind.BODY_TOO_LARGE,
                                "the body could not be read within "
                                        + head.pipeline().maxBodyBytes() + " bytes")));
    }

    private static void checkContentLength(HttpRequest request, int maxBytes) throws MasticfoldException {
        String length = request.getHeader(HttpHeaders.CONTENT_LENGTH);
        if (length != null && Long.parseLong(length.trim()) > maxBytes) {
            throw new MasticfoldException(
                    ErrorKind.BODY_TOO_LARGE, "the body has " + length + " bytes, the pipeline takes " + maxBytes);
        }
    }

    private Promise<HttpResponse> admit(RequestHead head, byte[] bytes) {
        PipelineRequest request;
        try {
            request = head.withBody(RequestParser.parseBody(bytes));
        } catch (MasticfoldException e) {
            return Promise.of(refusalResponse(head.requestId(), e.kind(), String.valueOf(e.getMessage())));
        }
        AdmissionDecision decision = admission.admit(head.contract(), head.pipeline());
        if (decision instanceof AdmissionDecision.Denied denied) {
            attainment.recordRefusal(head.contract());
            telemetry.refused(denied.kind());
            return Promise.of(ResponseWriter.errorResponse(head.requestId(), denialFailure(head, denied)));
        }
        AdmissionTicket ticket = ((AdmissionDecision.Admitted) decision).ticket();
        RequestOutcomeListener outcomeListener = new RequestOutcomeRecorder(ticket, attainment, scheduler);
        return new RequestExchange(request, outcomeListener).start(service, scheduler);
    }

    private static RequestFailure denialFailure(RequestHead head, AdmissionDecision.Denied denied) {
        String message = "workspace '" + head.contract().workspace() + "' was refused: "
                + denied.kind().code();
        return new RequestFailure(denied.kind(), Ran.NO, Ran.NO, denied.retryAfter(), message);
    }

    private HttpResponse refusalResponse(String requestId, ErrorKind kind, String message) {
        telemetry.refused(kind);
        Duration retryAfter = kind.retry() == Retry.NEVER ? Duration.ZERO : EntryLifecycle.RETRY_AFTER;
        return ResponseWriter.errorResponse(requestId, new RequestFailure(kind, Ran.NO, Ran.NO, retryAfter, message));
    }
}
