package io.masticfold.gateway;

import io.masticfold.gateway.http.CallerListener;
import io.masticfold.gateway.http.CallerRequest;
import io.masticfold.gateway.http.CallerResponse;
import io.masticfold.gateway.http.RequestHandler;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;

/** Serves the metrics page. */
final class MetricsHandler implements RequestHandler {

    private static final String PATH = "/metrics";

    private final Supplier<String> page;

    MetricsHandler(Supplier<String> page) {
        this.page = page;
    }

    @Override
    public CallerListener handle(CallerRequest request, CallerResponse answer) {
        boolean known = request.path().equals(PATH);
        HttpHeaders headers = DefaultHttpHeadersFactory.headersFactory().newHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "text/plain; version=0.0.4; charset=utf-8");
        answer.send(
                (known ? HttpResponseStatus.OK : HttpResponseStatus.NOT_FOUND).code(),
                headers,
                Unpooled.copiedBuffer(known ? page.get() : "not found\n", StandardCharsets.UTF_8));
        return CallerListener.NONE;
    }
}
