package io.masticfold.testkit.targets;

import io.activej.bytebuf.ByteBuf;
import io.activej.bytebuf.ByteBufStrings;
import io.activej.csp.queue.ChannelZeroBuffer;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpHeaders;
import io.activej.http.HttpResponse;
import io.activej.promise.Promise;
import io.masticfold.testkit.http.JsonSupport;
import java.io.IOException;
import java.util.function.Supplier;

/** Sends the tokens of one run as server-sent events, each a JSON text, spread over its service time. */
final class TokenStream {

    private final Eventloop eventloop;
    private final RunAnswer answer;
    private final int tokens;
    private final boolean cutDuring;
    private final Supplier<Promise<Void>> whenThawed;
    private final ChannelZeroBuffer<ByteBuf> events = new ChannelZeroBuffer<>();
    private final long intervalMillis;
    private int sent;

    TokenStream(
            Eventloop eventloop, RunAnswer answer, int tokens, boolean cutDuring, Supplier<Promise<Void>> whenThawed) {
        this.eventloop = eventloop;
        this.answer = answer;
        this.tokens = tokens;
        this.cutDuring = cutDuring;
        this.whenThawed = whenThawed;
        this.intervalMillis = answer.run().serviceMillis() / tokens;
    }

    HttpResponse response() {
        answer.run().end().whenResult(this::cutUnlessDone);
        next();
        return HttpResponse.ofCode(200)
                .withHeader(HttpHeaders.CONTENT_TYPE, "text/event-stream")
                .withBodyStream(events.getSupplier())
                .build();
    }

    private void next() {
        if (cutDuring && sent == tokens / 2) {
            events.closeEx(new IOException("connection cut by a fault switch"));
            return;
        }
        if (sent == tokens) {
            answer.run().end().whenResult(this::finish);
            return;
        }
        String event = event("token", JsonSupport.node(answer.token(sent)).toString());
        sent++;
        whenThawed
                .get()
                .then(() -> events.put(ByteBufStrings.wrapUtf8(event)))
                .whenResult(() -> eventloop.delay(intervalMillis, this::next));
    }

    private void cutUnlessDone(ExecutionState end) {
        if (end != ExecutionState.DONE) {
            events.closeEx(new IOException("run ended as " + end));
        }
    }

    private void finish() {
        String event = event("end", answer.summary().toString());
        events.put(ByteBufStrings.wrapUtf8(event)).whenResult(() -> events.put(null));
    }

    private static String event(String name, String data) {
        return "event: " + name + "\ndata: " + data + "\n\n";
    }
}
