package io.masticfold.entry.http;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import io.masticfold.core.attempt.Payload;
import io.masticfold.core.pipeline.PipelineRequest;
import io.masticfold.core.pipeline.PipelineResult;
import io.masticfold.core.pipeline.PipelineService;
import io.masticfold.core.pipeline.RequestFailure;
import io.masticfold.core.pipeline.ResponseListener;
import io.masticfold.core.pipeline.RunningRequest;
import io.masticfold.core.time.Scheduler;
import org.jspecify.annotations.Nullable;

/** Connects a caller's HTTP exchange to the execution of its request. Confined to one event loop. */
final class RequestExchange implements ResponseListener {

    private final PipelineRequest request;
    private final RequestOutcomeListener outcomeListener;
    private final SettablePromise<HttpResponse> response = new SettablePromise<>();
    private @Nullable SseResponseStream eventStream;
    private RunningRequest execution = NotStarted.INSTANCE;

    RequestExchange(PipelineRequest request, RequestOutcomeListener outcomeListener) {
        this.request = request;
        this.outcomeListener = outcomeListener;
    }

    /** Submits the request and returns a promise of the HTTP response. */
    Promise<HttpResponse> start(PipelineService service, Scheduler scheduler) {
        execution = service.submit(request, scheduler, this);
        return response;
    }

    @Override
    public void chunk(long _offset, Payload bytes) {
        openStream().append(bytes);
    }

    @Override
    public void completed(PipelineResult result) {
        outcomeListener.completed(request, result);
        if (!request.streaming()) {
            response.trySet(ResponseWriter.completedResponse(
                    request.requestId(), request.pipeline().name(), result));
            return;
        }
        boolean streamed = eventStream != null;
        SseResponseStream events = openStream();
        if (!streamed) {
            events.append(result.output());
        }
        ObjectNode end = ResponseWriter.endEventData(
                request.requestId(), request.pipeline().name(), result);
        events.sendFinalEvent("end", ResponseWriter.encode(end));
    }

    @Override
    public void failed(RequestFailure failure) {
        outcomeListener.failed(request, failure);
        SseResponseStream events = eventStream;
        if (events == null) {
            response.trySet(ResponseWriter.errorResponse(request.requestId(), failure));
            return;
        }
        events.sendFinalEvent("error", ResponseWriter.encode(ResponseWriter.errorBody(request.requestId(), failure)));
    }

    private SseResponseStream openStream() {
        SseResponseStream existing = eventStream;
        if (existing != null) {
            return existing;
        }
        SseResponseStream events = new SseResponseStream(() -> execution.cancel(), bytes -> execution.consumed(bytes));
        eventStream = events;
        response.trySet(HttpResponse.ok200()
                .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                .withHeader(HttpHeaders.CACHE_CONTROL, "no-store")
                .withHeader(EntryHeaders.REQUEST_ID, request.requestId())
                .withBodyStream(events)
                .build());
        return events;
    }

    /** Placeholder until {@code submit} has returned, because the listener may be called before that. */
    private enum NotStarted implements RunningRequest {
        INSTANCE;

        @Override
        public void cancel() {}

        @Override
        public void consumed(int _bytes) {}
    }
}
