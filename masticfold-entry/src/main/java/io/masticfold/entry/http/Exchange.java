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
final class Exchange implements ResponseListener {

    private final PipelineRequest request;
    private final RequestObserver observer;
    private final SettablePromise<HttpResponse> response = new SettablePromise<>();
    private @Nullable EventStream stream;
    private RunningRequest run = NotStarted.INSTANCE;

    Exchange(PipelineRequest request, RequestObserver observer) {
        this.request = request;
        this.observer = observer;
    }

    /** Submits the request and returns a promise of the HTTP response. */
    Promise<HttpResponse> start(PipelineService service, Scheduler scheduler) {
        run = service.submit(request, scheduler, this);
        return response;
    }

    @Override
    public void chunk(long _offset, Payload bytes) {
        openStream().append(bytes);
    }

    @Override
    public void completed(PipelineResult result) {
        observer.completed(request, result);
        if (!request.streaming()) {
            response.trySet(AnswerWriter.completed(
                    request.requestId(), request.pipeline().name(), result));
            return;
        }
        boolean streamed = stream != null;
        EventStream events = openStream();
        if (!streamed) {
            events.append(result.output());
        }
        ObjectNode end =
                AnswerWriter.end(request.requestId(), request.pipeline().name(), result);
        events.end("end", AnswerWriter.encode(end));
    }

    @Override
    public void failed(RequestFailure failure) {
        observer.failed(request, failure);
        EventStream events = stream;
        if (events == null) {
            response.trySet(AnswerWriter.failed(request.requestId(), failure));
            return;
        }
        events.end("error", AnswerWriter.encode(AnswerWriter.error(request.requestId(), failure)));
    }

    private EventStream openStream() {
        EventStream existing = stream;
        if (existing != null) {
            return existing;
        }
        EventStream events = new EventStream(() -> run.cancel(), bytes -> run.consumed(bytes));
        stream = events;
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
