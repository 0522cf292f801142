package io.masticfold.gateway.request;

import io.masticfold.core.directory.TargetRecord;
import io.masticfold.core.stream.StreamEvent;
import io.masticfold.gateway.protocol.HeaderNames;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.AsciiString;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

/** Builds the requests sent to targets from the requests of callers. */
final class TargetRequestBuilder {

    /** Network time to the target, subtracted from the deadline it is given. */
    private static final Duration NETWORK_TIME = Duration.ofMillis(5);

    /** Priority number of the least urgent requests that an engine distinguishes. */
    private static final int LOWEST_PRIORITY = 9;

    private final HeaderNames names;
    private final List<AsciiString> removed;

    TargetRequestBuilder(HeaderNames names) {
        this.names = names;
        this.removed = new ArrayList<>(names.forbiddenFromCallers());
        removed.add(AsciiString.cached(HttpHeaderNames.AUTHORIZATION.toString()));
        removed.add(names.deadlineMillis());
    }

    /**
     * Builds the request for a target.
     *
     * @param left time left for the response
     * @param inputs handles of the stage results that the request reads
     * @param lastEventId last event forwarded to the caller; {@link StreamEvent#NO_ID} to keep the caller's own header
     */
    FullHttpRequest build(
            RoutedRequest routed, TargetRecord target, Duration left, List<String> inputs, long lastEventId) {
        HttpHeaders headers = HeaderSupport.endToEnd(routed.request().headers(), removed);
        byte[] body = routed.request().body();
        headers.set(names.deadlineMillis(), Math.max(1, left.minus(NETWORK_TIME).toMillis()));
        headers.set(names.expectedTarget(), target.id());
        if (!routed.workspace().isEmpty()) {
            headers.set(names.workspace(), routed.workspace());
        }
        if (routed.route().kind().streaming()) {
            headers.set(names.priority(), Math.min(LOWEST_PRIORITY, routed.priority()));
        }
        if (!routed.route().stages().isEmpty()) {
            // An empty list is one, too: a request may omit the stages whose results it would read.
            headers.set(names.stageInputs(), String.join(",", inputs));
        }
        if (lastEventId != StreamEvent.NO_ID) {
            headers.set(names.lastEventId(), lastEventId);
        }
        if (body.length > 0 || routed.request().headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                routed.request().method(),
                routed.request().uri(),
                Unpooled.wrappedBuffer(body),
                headers,
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
    }
}
