package io.masticfold.gateway;

import io.masticfold.gateway.http.CallerListener;
import io.masticfold.gateway.http.CallerRequest;
import io.masticfold.gateway.http.CallerResponse;
import io.masticfold.gateway.http.RequestHandler;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.function.BooleanSupplier;

/** Serves the readiness probe. */
final class ReadinessHandler implements RequestHandler {

    private final String path;
    private final BooleanSupplier ready;

    ReadinessHandler(String path, BooleanSupplier ready) {
        this.path = path;
        this.ready = ready;
    }

    @Override
    public CallerListener handle(CallerRequest request, CallerResponse answer) {
        boolean known = request.path().equals(path);
        HttpResponseStatus status = !known
                ? HttpResponseStatus.NOT_FOUND
                : ready.getAsBoolean() ? HttpResponseStatus.OK : HttpResponseStatus.SERVICE_UNAVAILABLE;
        answer.send(
                status.code(),
                DefaultHttpHeadersFactory.headersFactory().newHeaders(),
                Unpooled.copiedBuffer(status.reasonPhrase() + "\n", StandardCharsets.US_ASCII));
        return CallerListener.NONE;
    }
}
